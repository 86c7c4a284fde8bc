package baymoor.inventory;

import java.util.Random;

/**
 * Says how long to wait before the next call for a watch, so that all balancers of the tier together call discovery no faster
 * than it can answer. What makes one balancer call, an outage or a mass restart, makes all call; and a discovery that works
 * calls off one after another stays overbooked for as long as calls come faster than that.
 *
 * <p>Calls are spread over a window that is proportional to the size of the tier. A caller's turn in the window is by its
 * number, with jitter inside it, so that callers which begin together come evenly spaced, and it moves on each time, so that
 * nobody is always last. A call that discovery turned down doubles the window, an answer resets it. Knows neither clock nor
 * socket.
 */
public final class CallPacing {

    /** How a call ended, as far as the next one's time turns on it. */
    public enum Outcome {
        /** A watch is up. */
        ANSWERED,
        /** No connection: discovery is down, and calls in vain cost it nothing. */
        CONNECTION_FAILED,
        /** An answer other than the list, or a reset: too many call, or discovery is down, which can't be told apart. */
        REJECTED,
        /** No word at all: the connection is dead, which says nothing of discovery. */
        TIMED_OUT
    }

    /**
     * Each caller's part of the first window: 50 calls a second by all. A service that reads a list from memory does several
     * hundred; one that does fewer than 50 says so soon, at the price of some calls.
     */
    private static final long BASE_INTERVAL_MICROS = 20_000;
    /** The window doubles three times at most, to six calls a second by all: as slow as that no service is known to be. */
    private static final int MAX_DOUBLINGS = 3;
    /** And so many are left once it is known that discovery is up: 12 calls a second by all. */
    private static final int MAX_DOUBLINGS_AFTER_RECOVERY = 2;
    /** How long a call on a good connection takes where nobody else calls, with a margin for a slow start. */
    private static final long UNLOADED_CALL_MICROS = 1_000_000;
    /** No call is taken for dead sooner, nor one later that has no connection yet: half of what a change has to be known in is left after the silence before it. */
    static final long MIN_HEDGE_DELAY_MICROS = 2_000_000;
    /** Longer than any discovery lets a call wait for its turn (2 and 3 s are known of). */
    private static final long MAX_QUEUE_MICROS = 3_200_000;

    private final int callers;
    private final Random random;
    private int position;
    private int doublings;

    /**
     * @param callers balancers of the tier
     * @param index  this one's number among them
     */
    public CallPacing(int callers, int index, long seed) {
        this.callers = callers;
        this.position = index;
        random = new Random(seed);
    }

    /** Takes in how a call ended. */
    public void recordOutcome(Outcome outcome) {
        switch (outcome) {
            case ANSWERED, CONNECTION_FAILED -> doublings = 0;
            case REJECTED -> doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
            case TIMED_OUT -> {}
        }
    }

    /**
     * Discovery is up again, as another balancer says that has its list. All hear so within a second, so their calls are
     * still spread widely: with what the list stops known by then, a call is less urgent than an answer to each is.
     */
    public void discoveryRecovered() {
        doublings = Math.min(MAX_DOUBLINGS_AFTER_RECOVERY, doublings);
    }

    /** The time to wait from now on to this balancer's turn in the present window. */
    public long nextDelayMicros() {
        double fraction = (position + random.nextDouble()) / callers;
        // A step that is prime to the number of callers goes round all turns, and far from the last one each time.
        position = (position + stride()) % callers;
        return (long) (fraction * windowMicros());
    }

    /** Over how long the calls of all are spread now; one that is alone waits for nobody. */
    long windowMicros() {
        return ((callers - 1) * BASE_INTERVAL_MICROS) << doublings;
    }

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
     * After how long without an answer a call is taken for dead, so that a second one goes out beside it. In a large tier, and
     * after one was turned down, a call may just be waiting its turn, and a second one would only make the queue longer. The
     * wait in a tier is reckoned for a discovery half as fast as the first window supposes.
     */
    public long hedgeDelayMicros() {
        long expectedAnswerMicros =
                doublings > 0 ? MAX_QUEUE_MICROS : UNLOADED_CALL_MICROS + 2 * callers * BASE_INTERVAL_MICROS;
        return Math.max(MIN_HEDGE_DELAY_MICROS, Math.min(MAX_QUEUE_MICROS, expectedAnswerMicros));
    }
}
