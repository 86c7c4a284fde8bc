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
 * A tier of exchanges in virtual time, with misses drawn for each balancer and a store that is asked as credits allow. Time goes
 * in steps; what is due in one goes in the order of the balancers' numbers.
 */
public final class SimulatedTier {

    public static final long SECOND = 1_000_000;
    /** A miss that has waited so long is given up. */
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
    /** Fetches in the present second, and the sum of all. */
    public long fetchedInSecond;

    public long fetched;
    /** Processor time that the exchanges take. */
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

    /** A new process in the place of the old one. */
    public void start(int balancer) {
        Node node = nodes[balancer];
        node.down = false;
        node.queued = 0;
        node.exchange = new Exchange(places, balancer, nextSeed++, Timing.USUAL, clockMicros(node));
        node.exchange.setRouters(routers);
        node.credits = new Credits(clockMicros(node));
        node.smoothedWeight = EMPTY_QUEUE_WEIGHT;
    }

    public void kill(int balancer) {
        nodes[balancer].down = true;
    }

    /** The process stands still; what arrives waits in its socket, here: is lost but for the last, as buffers are small. */
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

    /** The sum of what all that run may fetch in the present epoch, as a part of the allowance. */
    public double totalShare() {
        return totalShare(b -> true);
    }

    /** The same of some of them. */
    public double totalShare(IntPredicate filter) {
        double sum = 0;
        for (int b = 0; b < nodes.length; b++) {
            sum += nodes[b].down || !filter.test(b) ? 0 : nodes[b].exchange.allowanceShare(nowMicros);
        }
        return sum;
    }

    /** Lets time pass by whole steps. */
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
            node.learnedRate = node.exchange.allowanceRate(
                    clockMicros(node)); // as today: who has learnt nothing goes by the others
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

    /** How old on average what a balancer knows of all outside its site is, in seconds; figures carry their time here. */
    public double outsideAgeSeconds(int balancer) {
        Totals outside = nodes[balancer].exchange.totalsOutsideSite(clockMicros(nodes[balancer]));
        return outside.members() == 0
                ? Double.NaN
                : (nowMicros - START_MICROS) / (double) SECOND - outside.failures() / (10.0 * outside.members());
    }
}
