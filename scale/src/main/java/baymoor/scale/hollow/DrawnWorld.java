package baymoor.scale.hollow;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The hosts and clients of one balancer as they are drawn: how long an answer takes, what it is, and what comes next. Nothing here
 * knows a socket. The origin gets slower as all balancers together ask for more than it can do.
 */
final class DrawnWorld {

    /** The least part of its capacity at which the origin begins to get slower. */
    private static final double EASY = 0.9;

    private static final double SLOWEST = 20;

    private final Assignment.Drawn drawn;
    private final double requestsPerSecond;
    private final SplittableRandom random;
    private final double[] cumulative;
    private final Map<InetSocketAddress, Long> asked = new HashMap<>();
    private volatile double originLoad;
    private long fetches;
    private long requests;
    private long answers;
    private long refusals;

    /** @param cumulative chance of the keys up to each, as {@link #popularity} gives it */
    DrawnWorld(Assignment.Drawn drawn, int zone, long seed, double[] cumulative) {
        this.drawn = drawn;
        requestsPerSecond = drawn.requestsPerSecond().get(zone);
        this.cumulative = cumulative;
        random = new SplittableRandom(seed);
    }

    /** The chance of the keys up to each, after Zipf. */
    static double[] popularity(int keys, double exponent) {
        double[] chances = new double[keys];
        double sum = 0;
        for (int rank = 0; rank < keys; rank++) {
            sum += Math.pow(rank + 1, -exponent);
            chances[rank] = sum;
        }
        for (int rank = 0; rank < keys; rank++) {
            chances[rank] /= sum;
        }
        return chances;
    }

    /** Of what the origin can do, the part that all balancers ask for. */
    void originLoad(double part) {
        originLoad = part;
    }

    /** Time until the next request. */
    long nextRequestMicros() {
        return (long) Math.ceil(-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6);
    }

    boolean asks() {
        return requestsPerSecond > 0;
    }

    Assignment.RequestKind nextKind() {
        double at = random.nextDouble();
        int i = 0;
        while (i < drawn.kinds().size() - 1 && at >= drawn.kinds().get(i).share()) {
            at -= drawn.kinds().get(i++).share();
        }
        requests++;
        return drawn.kinds().get(i);
    }

    /** The number of the next key asked for. */
    int nextKey() {
        int found = java.util.Arrays.binarySearch(cumulative, random.nextDouble());
        return Math.min(cumulative.length - 1, found < 0 ? -found - 1 : found);
    }

    int valueBytes() {
        return drawn.valueBytes();
    }

    String tenant() {
        return drawn.tenant();
    }

    private long within(java.util.List<Long> span) {
        long least = span.get(0);
        long most = span.get(1);
        return most <= least ? least : random.nextLong(least, most + 1);
    }

    /** A router is asked; whether it holds the key. */
    boolean routerHolds(InetSocketAddress router) {
        asked.merge(router, 1L, Long::sum);
        return random.nextDouble() >= drawn.miss();
    }

    long routerMicros() {
        return within(drawn.routerMicros());
    }

    /** The origin is asked; how long it takes. */
    long originMicros() {
        fetches++;
        double slower = Math.min(SLOWEST, Math.pow(Math.max(1, originLoad / EASY), 3));
        return (long) (within(drawn.originMicros()) * slower);
    }

    void answered(boolean served) {
        answers++;
        refusals += served ? 0 : 1;
    }

    long fetches() {
        return fetches;
    }

    long requests() {
        return requests;
    }

    long refusals() {
        return refusals;
    }

    long answers() {
        return answers;
    }

    /** Requests that each router was asked so far. */
    Map<InetSocketAddress, Long> asked() {
        return asked;
    }
}
