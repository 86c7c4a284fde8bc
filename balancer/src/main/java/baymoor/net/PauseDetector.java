package baymoor.net;

/**
 * Detects pauses of the whole process, such as a stop or CPU starvation. Requests that arrived in the socket buffers during a
 * pause are read only after it; taking the time of the read for their arrival would grant them deadlines that have passed.
 *
 * <p>Used on the decision thread only.
 */
final class PauseDetector {

    /** A wake-up at most this late is an ordinary scheduling delay. */
    private static final long MIN_PAUSE_MICROS = 100_000;
    /** How long after a pause the I/O threads take to read what has waited in the socket buffers. */
    private static final long CATCH_UP_MICROS = 20_000;

    private long pauseStartMicros;
    private long catchUpEndMicros = Long.MIN_VALUE;

    /**
     * Records that the decision thread has woken up.
     *
     * @param expectedMicros the latest time at which it was to wake up
     * @param actualMicros   the time now
     */
    void recordWakeUp(long expectedMicros, long actualMicros) {
        if (actualMicros - expectedMicros > MIN_PAUSE_MICROS) {
            pauseStartMicros = expectedMicros;
            catchUpEndMicros = actualMicros + CATCH_UP_MICROS;
        }
    }

    /** Returns the earliest time at which the bytes may have arrived whose task was posted at the given time. */
    long earliestArrival(long postedMicros) {
        return postedMicros <= catchUpEndMicros ? Math.min(pauseStartMicros, postedMicros) : postedMicros;
    }
}
