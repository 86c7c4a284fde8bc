package baymoor.emulator.engine;

import java.util.PriorityQueue;

/**
 * A discrete-event simulation engine whose clock counts virtual microseconds. Events due at the same microsecond run in
 * the order in which they were scheduled; the immediate tasks of a {@link VirtualProcess} run before both.
 *
 * <p>With a grid, due times are rounded up to its multiples, and events due at the same time run in a pseudo-random order
 * that depends on the seed. This exercises interleavings that are rare in production. Events with the same ordering key,
 * such as those of one direction of a connection, keep their order.
 *
 * <p>Not thread-safe: one thread runs the engine and everything scheduled on it.
 */
public final class Engine {

    private static final long NO_ORDERING_KEY = 0;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    /** Virtual time at which a run starts; hosts that started long before it still have positive start times. */
    public static final long START_MICROS = 1_000_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>(1024);
    private long now = START_MICROS;
    private long nextSequence;
    private long executedEvents;
    private boolean halted;
    private final long gridMicros;
    private final long shuffle;

    public Engine() {
        this(1, 0);
    }

    /**
     * Creates an engine.
     *
     * @param gridMicros events are due at multiples of this, 1 for no grid
     * @param shuffle seed of the order of events due at the same time, 0 for the order in which they were scheduled
     */
    public Engine(long gridMicros, long shuffle) {
        this.gridMicros = gridMicros;
        this.shuffle = shuffle;
    }

    /** A scheduled task. */
    public static final class Event implements Comparable<Event> {
        private final long dueMicros;
        private final long tieBreak;
        private final long sequence;
        private Runnable task;

        Event(long dueMicros, long tieBreak, long sequence, Runnable task) {
            this.dueMicros = dueMicros;
            this.tieBreak = tieBreak;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the event: it stays in the queue until it is due and then does nothing. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueMicros, other.dueMicros);
            int byTieBreak = byTime != 0 ? byTime : Long.compare(tieBreak, other.tieBreak);
            return byTieBreak != 0 ? byTieBreak : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the virtual time in microseconds. */
    public long now() {
        return now;
    }

    /** Returns the virtual microseconds since the start of the run. */
    public long elapsedMicros() {
        return now - START_MICROS;
    }

    /** Returns the number of events executed so far, without cancelled ones. */
    public long executedEvents() {
        return executedEvents;
    }

    /** Returns the number of queued events, including cancelled ones. */
    public int queuedEvents() {
        return events.size();
    }

    /** Schedules a task; a time in the past means now, after the events already due now. */
    public Event schedule(long micros, Runnable task) {
        return schedule(micros, NO_ORDERING_KEY, task);
    }

    /**
     * Schedules a task with an ordering key.
     *
     * @param orderingKey events with the same key keep their order; 0 for none
     */
    public Event schedule(long micros, long orderingKey, Runnable task) {
        long due = Math.max(now, micros);
        return enqueue(due == now ? now : (due + gridMicros - 1) / gridMicros * gridMicros, orderingKey, task);
    }

    /** Schedules a task at an exact time, without rounding up to the grid. */
    public Event scheduleUnaligned(long micros, Runnable task) {
        return enqueue(Math.max(now, micros), NO_ORDERING_KEY, task);
    }

    private Event enqueue(long due, long orderingKey, Runnable task) {
        long sequence = nextSequence++;
        Event event = new Event(
                due,
                shuffle == 0
                        ? 0
                        : mix(shuffle
                                ^ (orderingKey == NO_ORDERING_KEY ? ~sequence : orderingKey) * GOLDEN_GAMMA
                                ^ due),
                sequence,
                task);
        events.add(event);
        return event;
    }

    /** The finalizer of SplitMix64. */
    private static long mix(long seed) {
        long z = (seed ^ seed >>> 30) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }

    /** Schedules a task after a delay; a negative delay counts as 0. */
    public Event after(long micros, Runnable task) {
        return schedule(now + Math.max(0, micros), task);
    }

    /** Makes {@link #runUntil} return after the current event. */
    public void halt() {
        halted = true;
    }

    /** Returns whether {@link #halt} has been called. */
    public boolean halted() {
        return halted;
    }

    /** Executes all events due up to a time, inclusive, and advances the clock to it, unless halted before. */
    public void runUntil(long micros) {
        while (!halted) {
            Event next = events.peek();
            if (next == null || next.dueMicros > micros) {
                now = Math.max(now, micros);
                return;
            }
            events.poll();
            now = next.dueMicros;
            Runnable task = next.task;
            if (task != null) {
                executedEvents++;
                task.run();
            }
        }
    }
}
