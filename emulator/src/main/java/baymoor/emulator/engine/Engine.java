package baymoor.emulator.engine;

import java.util.PriorityQueue;

/**
 * A discrete-event engine: virtual time in microseconds, moved on from event to event. Of two events at the same
 * microsecond the one that was scheduled first comes first; what a {@link Site} does at once comes before both.
 */
public final class Engine {

    /** High enough that starts of hosts long before this run's are above 0. */
    public static final long START_MICROS = 1_000_000_000_000L;

    private final PriorityQueue<Event> events = new PriorityQueue<>(1024);
    private long now = START_MICROS;
    private long scheduled;
    private long performed;
    private boolean halted;

    /** One thing to be done at a time. */
    public static final class Event implements Comparable<Event> {
        private final long at;
        private final long number;
        private Runnable task;

        Event(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        /** It stays in the queue until its time, but does nothing then. */
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    public long now() {
        return now;
    }

    /** Since the start of the run. */
    public long elapsed() {
        return now - START_MICROS;
    }

    /** Events performed so far, without the cancelled ones. */
    public long performed() {
        return performed;
    }

    /** Events that wait, with the cancelled ones. */
    public int waiting() {
        return events.size();
    }

    /** Does something at a time; a time that has passed means now, after what is scheduled for now already. */
    public Event at(long micros, Runnable task) {
        Event event = new Event(Math.max(now, micros), scheduled++, task);
        events.add(event);
        return event;
    }

    public Event after(long micros, Runnable task) {
        return at(now + Math.max(0, micros), task);
    }

    /** Ends {@link #runUntil} after the present event. */
    public void halt() {
        halted = true;
    }

    public boolean halted() {
        return halted;
    }

    /** Performs all that falls due until a time, inclusive, unless halted; then the clock shows that time. */
    public void runUntil(long micros) {
        while (!halted) {
            Event next = events.peek();
            if (next == null || next.at > micros) {
                now = Math.max(now, micros);
                return;
            }
            events.poll();
            now = next.at;
            Runnable task = next.task;
            if (task != null) {
                performed++;
                task.run();
            }
        }
    }
}
