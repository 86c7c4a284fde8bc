package baymoor.net;

/**
 * Notices that the whole process was held up: stopped, or without a processor. Seen: a balancer that had stood still for a second
 * read the requests that had waited meanwhile, gave them all of their time from then on, and answered when their clients were gone.
 */
final class PauseDetector {

    /** A look at the clock so much later than was meant is a hold-up; less is an ordinary wait for a processor. */
    private static final long MIN_PAUSE_MICROS = 100_000;
    /** So long after it the drivers have handed in all that waited in the sockets. */
    private static final long CATCH_UP_MICROS = 20_000;

    private long pauseStartMicros;
    private long catchUpEndMicros = Long.MIN_VALUE;

    /** The decision thread looks at the clock, and meant to do so at the latest at {@code meant}. */
    void wokeUp(long expectedMicros, long actualMicros) {
        if (actualMicros - expectedMicros > MIN_PAUSE_MICROS) {
            pauseStartMicros = expectedMicros;
            catchUpEndMicros = actualMicros + CATCH_UP_MICROS;
        }
    }

    /** The earliest that something may have come in which a driver handed in at a time. */
    long earliestArrival(long postedMicros) {
        return postedMicros <= catchUpEndMicros ? Math.min(pauseStartMicros, postedMicros) : postedMicros;
    }
}
