package baymoor.tier.simulation;

import baymoor.tier.exchange.Credits;
import baymoor.tier.exchange.Exchange;
import baymoor.tier.exchange.RouterList;
import baymoor.tier.exchange.Timing;
import baymoor.tier.message.Totals;
import baymoor.tier.place.Places;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * A tier of exchanges in virtual time, with random misses at each balancer and fetches limited by credits. Time advances in
 * fixed steps; events of the same step are processed in the order of the balancers' numbers.
 */
public final class SimulatedTier {

    public static final long SECOND = 1_000_000;
    /** The queue holds at most as many misses as arrive in this time on average. */
    private static final int MAX_WAIT_SECONDS = 1;

    private static final double EMPTY_QUEUE_WEIGHT = 1;
    private static final long START_MICROS = 1_000 * SECOND;

    private final class Node {
        Exchange exchange;
        Credits credits;
        long skewMicros;
        long pausedUntilMicros;
        boolean down;
        double missesPerSecond;
        double queued;
        int fetched;
        int fetchedLastEpoch;
        long fetchEpoch = -1;
        double learnedRate;
        double smoothedWeight = EMPTY_QUEUE_WEIGHT;
        int[] loads = new int[0];
    }

    public final Places places;
    public final Network network;
    public long nowMicros = START_MICROS;
    /** Fetches of all balancers since a test last reset the count. */
    public long fetchedInSecond;

    /** All fetches since the start. */
    public long fetched;
    /** Wall-clock time spent in the exchanges. */
    public long controlNanos;

    private final Node[] nodes;
    private final Random random;
    private final long stepMicros;
    private RouterList routers = RouterList.EMPTY;
    private long nextSeed;

    public SimulatedTier(Places places, long seed, long stepMicros) {
        this.places = places;
        this.stepMicros = stepMicros;
        network = new Network(places, seed);
        random = new Random(seed + 1);
        nextSeed = seed * 1_000_003;
        nodes = new Node[places.balancers()];
        for (int b = 0; b < nodes.length; b++) {
            nodes[b] = new Node();
            start(b);
        }
    }

    /** Starts a balancer, replacing its previous process if there was one. */
    public void start(int balancer) {
        Node node = nodes[balancer];
        node.down = false;
        node.queued = 0;
        node.exchange = new Exchange(places, balancer, nextSeed++, Timing.DEFAULT, clockMicros(node));
        node.exchange.setRouters(routers);
        node.credits = new Credits(clockMicros(node));
        node.smoothedWeight = EMPTY_QUEUE_WEIGHT;
    }

    public void kill(int balancer) {
        nodes[balancer].down = true;
    }

    /** Pauses a process; datagrams that arrive in the meantime are lost. */
    public void pause(int balancer, long micros) {
        nodes[balancer].pausedUntilMicros = nowMicros + micros;
    }

    public void setClockSkew(int balancer, long micros) {
        nodes[balancer].skewMicros = micros;
    }

    public void setMissRate(int balancer, double perSecond) {
        nodes[balancer].missesPerSecond = perSecond;
    }

    public void setLearnedRate(int balancer, double rate) {
        nodes[balancer].learnedRate = rate;
    }

    public void setRouters(RouterList list) {
        routers = list;
        for (Node node : nodes) {
            node.exchange.setRouters(list);
            node.loads = new int[list.size()];
        }
    }

    public int[] loads(int balancer) {
        return nodes[balancer].loads;
    }

    private long clockMicros(Node node) {
        return nowMicros + node.skewMicros;
    }

    private boolean isRunning(Node node) {
        return !node.down && nowMicros >= node.pausedUntilMicros;
    }

    public Exchange exchange(int balancer) {
        return nodes[balancer].exchange;
    }

    public long clockMicros(int balancer) {
        return clockMicros(nodes[balancer]);
    }

    public boolean isRunning(int balancer) {
        return isRunning(nodes[balancer]);
    }

    /** Returns the sum of the shares of all balancers that are not down, paused ones included. */
    public double totalShare() {
        return totalShare(b -> true);
    }

    /** Returns the same sum for the balancers that match the filter. */
    public double totalShare(IntPredicate filter) {
        double sum = 0;
        for (int b = 0; b < nodes.length; b++) {
            sum += nodes[b].down || !filter.test(b) ? 0 : nodes[b].exchange.allowanceShare(nowMicros);
        }
        return sum;
    }

    /** Advances the time by whole steps until at least the given time has passed. */
    public void advance(long micros) {
        for (long end = nowMicros + micros; nowMicros < end; ) {
            nowMicros += stepMicros;
            network.deliver(nowMicros, this::receive);
            for (int b = 0; b < nodes.length; b++) {
                if (isRunning(nodes[b])) {
                    runStep(b, nodes[b]);
                }
            }
        }
    }

    private void receive(int from, int to, byte[] datagram) {
        Node node = nodes[to];
        if (isRunning(node)) {
            long before = System.nanoTime();
            node.exchange.receive(clockMicros(node), from, datagram, (b, d) -> network.send(nowMicros, to, b, d));
            controlNanos += System.nanoTime() - before;
        }
    }

    private void runStep(int balancer, Node node) {
        long clockMicros = clockMicros(node);
        fetchFromStore(node, clockMicros);
        if (clockMicros >= node.exchange.nextSendMicros()) {
            node.exchange.report(totals(node), node.loads);
            long before = System.nanoTime();
            node.exchange.sendDue(clockMicros, (b, d) -> network.send(nowMicros, balancer, b, d));
            controlNanos += System.nanoTime() - before;
        }
    }

    private void fetchFromStore(Node node, long clockMicros) {
        if (node.missesPerSecond == 0) {
            return;
        }
        double step = stepMicros / (double) SECOND;
        node.queued += poisson(node.missesPerSecond * step);
        node.queued = Math.min(node.queued, Math.ceil(node.missesPerSecond * MAX_WAIT_SECONDS));
        if (clockMicros / SECOND != node.fetchEpoch) {
            node.fetchEpoch = clockMicros / SECOND;
            node.fetchedLastEpoch = node.fetched;
            node.fetched = 0;
        }
        node.credits.accrue(
                clockMicros, node.exchange.allowanceShare(clockMicros) * node.exchange.allowanceRate(clockMicros));
        while (node.queued >= 1 && node.credits.trySpend()) {
            node.queued--;
            node.fetched++;
            fetchedInSecond++;
            fetched++;
        }
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double p = random.nextDouble(); p > limit; p *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private Totals totals(Node node) {
        if (node.learnedRate == 0) {
            node.learnedRate =
                    node.exchange.allowanceRate(clockMicros(node)); // a new process adopts the others' estimate
        }
        double weight = Math.max(EMPTY_QUEUE_WEIGHT, node.queued + node.fetchedLastEpoch);
        node.smoothedWeight = (node.smoothedWeight + weight) / 2;
        long age = (nowMicros - START_MICROS) / (SECOND / 10);
        return new Totals(
                1,
                node.fetchedLastEpoch,
                (long) node.queued,
                node.smoothedWeight,
                node.credits.available(),
                0,
                node.learnedRate,
                0,
                0,
                age);
    }

    /**
     * Returns the mean age in seconds of what a balancer knows of all balancers outside its site, or NaN. The simulation sends
     * each report's time in the totals' count of failures.
     */
    public double outsideAgeSeconds(int balancer) {
        Totals outside = nodes[balancer].exchange.totalsOutsideSite(clockMicros(nodes[balancer]));
        return outside.members() == 0
                ? Double.NaN
                : (nowMicros - START_MICROS) / (double) SECOND - outside.failures() / (10.0 * outside.members());
    }
}
