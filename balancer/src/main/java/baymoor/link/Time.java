package baymoor.link;

/** The one monotonic clock and its timers; what falls due runs on the decision thread. */
public interface Time {

    /** Microseconds since some fixed moment; the same throughout the handling of one event. */
    long now();

    /**
     * The earliest that what is being told may have come in: before {@link #now} where it waited, be it for this thread or for a
     * process that was held up.
     */
    default long came() {
        return now();
    }

    /** Runs a task after a delay, never before the present event has been dealt with. */
    Timer after(long micros, Runnable task);

    /** A task that has been put off. */
    interface Timer {
        /** The task will not run; has no effect on one that has run. */
        void cancel();
    }
}
