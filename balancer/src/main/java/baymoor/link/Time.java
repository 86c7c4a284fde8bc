package baymoor.link;

/** The monotonic clock and its timers, whose tasks run on the decision thread. */
public interface Time {

    /** Returns microseconds since a fixed but arbitrary time; the value is constant while an event is handled. */
    long now();

    /**
     * Returns the earliest time at which the current event may have arrived. It precedes {@link #now} if the event waited
     * for the decision thread, or the process was suspended.
     */
    default long earliestArrivalMicros() {
        return now();
    }

    /** Schedules a task, which never runs before the current event has been handled. */
    Timer schedule(long micros, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect if it has run already. */
        void cancel();
    }
}
