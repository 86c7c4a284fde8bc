package baymoor.inventory;

import java.util.Random;

/**
 * Computes the delay before the next watch call, so that the balancers of the tier together do not overload discovery when an
 * outage or a mass restart makes all of them call at once.
 *
 * <p>Calls are spread over a window that is proportional to the size of the tier. A caller's position in the window follows
 * from its index, with jitter, so that callers which begin together are evenly spaced; it changes each time, so that no caller
 * is always last. A rejected call doubles the window, an answered one resets it.
 *
 * <p>Uses neither clock nor sockets. Not thread-safe.
 */
public final class CallPacing {

    /** How a call ended. */
    public enum Outcome {
        /** The watch is established. */
        ANSWERED,
        /** No connection was made: discovery is down, and further calls put no load on it. */
        CONNECTION_FAILED,
        /** An error response, or a connection that was closed: discovery is overloaded or down. */
        REJECTED,
        /** No response within the timeout: the connection is dead, and discovery's state unknown. */
        TIMED_OUT
    }

    /**
     * Each caller's part of the initial window, which limits the tier to 50 calls per second. A discovery that reads the list
     * from memory answers several hundred; a slower one rejects some calls, which widens the window.
     */
    private static final long BASE_INTERVAL_MICROS = 20_000;
    /** Limits the backoff to about six calls per second by the whole tier; no discovery is known to be slower. */
    private static final int MAX_DOUBLINGS = 3;
    /** Limits the backoff once discovery is known to be up, to about 12 calls per second by the whole tier. */
    private static final int MAX_DOUBLINGS_AFTER_RECOVERY = 2;
    /** Upper bound of an answer's time while no other balancer calls, with a margin for a slow start. */
    private static final long UNLOADED_CALL_MICROS = 1_000_000;
    /**
     * Earliest time for a hedged call, and the time for one whose first call has no connection yet. With the idle timeout
     * before it, half of the time within which a change has to be known remains.
     */
    static final long MIN_HEDGE_DELAY_MICROS = 2_000_000;
    /** Longer than discovery queues a call, which is up to 3 s. */
    private static final long MAX_QUEUE_MICROS = 3_200_000;

    private final int callers;
    private final Random random;
    private int position;
    private int doublings;

    /**
     * Creates the pacing of one balancer.
     *
     * @param callers number of balancers in the tier
     * @param index   this balancer's index among them
     * @param seed    seeds the jitter
     */
    public CallPacing(int callers, int index, long seed) {
        this.callers = callers;
        this.position = index;
        random = new Random(seed);
    }

    /** Adjusts the window to the outcome of a call. */
    public void recordOutcome(Outcome outcome) {
        switch (outcome) {
            case ANSWERED, CONNECTION_FAILED -> doublings = 0;
            case REJECTED -> doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
            case TIMED_OUT -> {}
        }
    }

    /**
     * Shortens the backoff after a peer has shown that discovery is up again. All balancers learn this at about the same time,
     * so the calls stay spread; they aren't urgent, as the peers already provide the list.
     */
    public void discoveryRecovered() {
        doublings = Math.min(MAX_DOUBLINGS_AFTER_RECOVERY, doublings);
    }

    /** Returns the delay from now to this balancer's position in the window, and moves on to the next position. */
    public long nextDelayMicros() {
        double fraction = (position + random.nextDouble()) / callers;
        // A stride coprime to the number of callers visits every position.
        position = (position + stride()) % callers;
        return (long) (fraction * windowMicros());
    }

    /** Returns the length of the current window; 0 for a single caller. */
    long windowMicros() {
        return ((callers - 1) * BASE_INTERVAL_MICROS) << doublings;
    }

    /** Returns a number coprime to the number of callers, large enough to keep successive positions far apart. */
    private int stride() {
        int stride = Math.max(1, (int) (callers * 0.382));
        while (greatestCommonDivisor(stride, callers) > 1) {
            stride++;
        }
        return stride;
    }

    private static int greatestCommonDivisor(int a, int b) {
        return b == 0 ? a : greatestCommonDivisor(b, a % b);
    }

    /**
     * Returns how long a connected call may stay unanswered before it is hedged by a second one. In a large tier, or after a
     * rejection, a call may be waiting in discovery's queue, which a hedge would only lengthen; so the delay allows for a
     * discovery that answers at half the rate of the initial window.
     */
    public long hedgeDelayMicros() {
        long expectedAnswerMicros =
                doublings > 0 ? MAX_QUEUE_MICROS : UNLOADED_CALL_MICROS + 2 * callers * BASE_INTERVAL_MICROS;
        return Math.max(MIN_HEDGE_DELAY_MICROS, Math.min(MAX_QUEUE_MICROS, expectedAnswerMicros));
    }
}
