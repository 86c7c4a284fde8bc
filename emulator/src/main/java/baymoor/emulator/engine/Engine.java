package baymoor.emulator.engine;

import java.util.PriorityQueue;

/**
 * A discrete-event engine: virtual time in microseconds, moved on from event to event. Of two events at the same
 * microsecond the one that was scheduled first comes first; what a {@link VirtualProcess} does at once comes before both.
 *
 * <p>With a grid, events fall due together at its points, and those that are due at once come in an order drawn from a seed: so
 * that what hardly ever crosses in the world crosses all the time. Events of one course, as of one connection, keep their order.
 */
public final class Engine {

    private static final long NO_ORDERING_KEY = 0;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

    /** High enough that starts of hosts long before this run's are above 0. */
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
     * @param gridMicros at whose multiples events fall due, 1 for none
     * @param shuffle    seed of the order of events that are due at once, 0 for that in which they were scheduled
     */
    public Engine(long gridMicros, long shuffle) {
        this.gridMicros = gridMicros;
        this.shuffle = shuffle;
    }

    /** One thing to be done at a time. */
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

        /** It stays in the queue until its time, but does nothing then. */
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

    /** The virtual time in microseconds. */
    public long now() {
        return now;
    }

    /** Since the start of the run. */
    public long elapsedMicros() {
        return now - START_MICROS;
    }

    /** Events performed so far, without the cancelled ones. */
    public long executedEvents() {
        return executedEvents;
    }

    /** Events that wait, with the cancelled ones. */
    public int queuedEvents() {
        return events.size();
    }

    /** Does something at a time; a time that has passed means now, after what is scheduled for now already. */
    public Event schedule(long micros, Runnable task) {
        return schedule(micros, NO_ORDERING_KEY, task);
    }

    /** @param orderingKey whose events keep their order among themselves, or 0 */
    public Event schedule(long micros, long orderingKey, Runnable task) {
        long due = Math.max(now, micros);
        return enqueue(due == now ? now : (due + gridMicros - 1) / gridMicros * gridMicros, orderingKey, task);
    }

    /** At this very time, on no grid. */
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

    /** Does something after a delay. */
    public Event after(long micros, Runnable task) {
        return schedule(now + Math.max(0, micros), task);
    }

    /** Ends {@link #runUntil} after the present event. */
    public void halt() {
        halted = true;
    }

    /** Whether {@link #halt} has been called. */
    public boolean halted() {
        return halted;
    }

    /** Performs all that falls due until a time, inclusive, unless halted; then the clock shows that time. */
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
