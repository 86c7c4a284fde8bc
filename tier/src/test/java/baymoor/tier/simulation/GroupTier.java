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
public final class GroupTier {

    public static final long SECOND = 1_000_000;
    /** A miss that has waited so long is given up. */
    private static final int LONGEST_WAIT_SECONDS = 1;

    private static final double EMPTY_QUEUE_WEIGHT = 1;
    private static final long START = 1_000 * SECOND;

    private final class Node {
        Exchange exchange;
        Credits credits;
        long skewMicros;
        long stalledUntil;
        boolean down;
        double missesPerSecond;
        double queued;
        int fetched;
        int fetchedLast;
        long epochFetched = -1;
        double learnedRate;
        double demand = EMPTY_QUEUE_WEIGHT;
        int[] loads = new int[0];
    }

    public final Places places;
    public final Network network;
    public long now = START;
    /** Fetches in the present second, and the sum of all. */
    public long fetchedInSecond;

    public long fetched;
    /** Processor time that the exchanges take. */
    public long controlNanos;

    private final Node[] nodes;
    private final Random random;
    private final long stepMicros;
    private RouterList routers = RouterList.EMPTY;
    private long seeds;

    public GroupTier(Places places, long seed, long stepMicros) {
        this.places = places;
        this.stepMicros = stepMicros;
        network = new Network(places, seed);
        random = new Random(seed + 1);
        seeds = seed * 1_000_003;
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
        node.exchange = new Exchange(places, balancer, seeds++, Timing.USUAL, clock(node));
        node.exchange.setRouters(routers);
        node.credits = new Credits(clock(node));
        node.demand = EMPTY_QUEUE_WEIGHT;
    }

    public void kill(int balancer) {
        nodes[balancer].down = true;
    }

    /** The process stands still; what arrives waits in its socket, here: is lost but for the last, as buffers are small. */
    public void stall(int balancer, long micros) {
        nodes[balancer].stalledUntil = now + micros;
    }

    public void skew(int balancer, long micros) {
        nodes[balancer].skewMicros = micros;
    }

    public void misses(int balancer, double perSecond) {
        nodes[balancer].missesPerSecond = perSecond;
    }

    public void learned(int balancer, double rate) {
        nodes[balancer].learnedRate = rate;
    }

    public void routers(RouterList list) {
        routers = list;
        for (Node node : nodes) {
            node.exchange.setRouters(list);
            node.loads = new int[list.size()];
        }
    }

    public int[] loads(int balancer) {
        return nodes[balancer].loads;
    }

    private long clock(Node node) {
        return now + node.skewMicros;
    }

    private boolean runs(Node node) {
        return !node.down && now >= node.stalledUntil;
    }

    public Exchange exchange(int balancer) {
        return nodes[balancer].exchange;
    }

    public long clock(int balancer) {
        return clock(nodes[balancer]);
    }

    public boolean runs(int balancer) {
        return runs(nodes[balancer]);
    }

    /** The sum of what all that run may fetch in the present epoch, as a part of the allowance. */
    public double partsTogether() {
        return partsTogether(b -> true);
    }

    /** The same of some of them. */
    public double partsTogether(IntPredicate which) {
        double sum = 0;
        for (int b = 0; b < nodes.length; b++) {
            sum += nodes[b].down || !which.test(b) ? 0 : nodes[b].exchange.part(now);
        }
        return sum;
    }

    /** Lets time pass by whole steps. */
    public void pass(long micros) {
        for (long end = now + micros; now < end; ) {
            now += stepMicros;
            network.deliver(now, this::receive);
            for (int b = 0; b < nodes.length; b++) {
                if (runs(nodes[b])) {
                    work(b, nodes[b]);
                }
            }
        }
    }

    private void receive(int from, int to, byte[] datagram) {
        Node node = nodes[to];
        if (runs(node)) {
            long before = System.nanoTime();
            node.exchange.hear(clock(node), from, datagram, (b, d) -> network.send(now, to, b, d));
            controlNanos += System.nanoTime() - before;
        }
    }

    private void work(int balancer, Node node) {
        long clock = clock(node);
        serve(node, clock);
        if (clock >= node.exchange.nextMicros()) {
            node.exchange.report(figures(node), node.loads);
            long before = System.nanoTime();
            node.exchange.advance(clock, (b, d) -> network.send(now, balancer, b, d));
            controlNanos += System.nanoTime() - before;
        }
    }

    private void serve(Node node, long clock) {
        if (node.missesPerSecond == 0) {
            return;
        }
        double step = stepMicros / (double) SECOND;
        node.queued += poisson(node.missesPerSecond * step);
        node.queued = Math.min(node.queued, Math.ceil(node.missesPerSecond * LONGEST_WAIT_SECONDS));
        if (clock / SECOND != node.epochFetched) {
            node.epochFetched = clock / SECOND;
            node.fetchedLast = node.fetched;
            node.fetched = 0;
        }
        node.credits.accrue(clock, node.exchange.part(clock) * node.exchange.rate(clock));
        while (node.queued >= 1 && node.credits.spend()) {
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

    private Totals figures(Node node) {
        if (node.learnedRate == 0) {
            node.learnedRate = node.exchange.rate(clock(node)); // as today: who has learnt nothing goes by the others
        }
        double wanted = Math.max(EMPTY_QUEUE_WEIGHT, node.queued + node.fetchedLast);
        node.demand = (node.demand + wanted) / 2;
        long age = (now - START) / (SECOND / 10);
        return new Totals(
                1,
                node.fetchedLast,
                (long) node.queued,
                node.demand,
                node.credits.whole(),
                0,
                node.learnedRate,
                0,
                0,
                age);
    }

    /** How old on average what a balancer knows of all outside its site is, in seconds; figures carry their time here. */
    public double outsideAge(int balancer) {
        Totals outside = nodes[balancer].exchange.outside(clock(nodes[balancer]));
        return outside.members() == 0
                ? Double.NaN
                : (now - START) / (double) SECOND - outside.failures() / (10.0 * outside.members());
    }
}
