package merlinstep;

import baymoor.tier.place.Places;
import baymoor.tier.simulation.Network;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Prices;
import merlinstep.Decisions.Reports;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.Settings;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TellPeer;
import merlinstep.Decisions.Tenant;
import merlinstep.Decisions.TimerFired;
import merlinstep.Decisions.Weights;

/**
 * Simulates a tier of decision modules in virtual time that send their state to every peer; the baseline for the
 * exchange in groups. A request is a hit or a miss at a router; the origin answers fast up to its capacity and slowly
 * above it.
 */
public final class FullMesh {

    public static final long SECOND = 1_000_000;
    private static final long ORIGIN = 99_999;
    private static final long STEP_MICROS = 10_000;
    private static final long HIT_MICROS = 350_000;
    private static final long ORIGIN_MICROS = 100_000;
    private static final long LATE_ORIGIN_MICROS = 1_200_000;
    private static final double NANOS_PER_SECOND = 1e9;

    private record Scheduled(long at, long number, Runnable task) {}

    private final class Node {
        Rules rules;
        long timerAt = Long.MAX_VALUE;
        boolean down;
        double missesPerSecond;
        final long[] lastSendTimeMicros;

        Node(int balancers) {
            lastSendTimeMicros = new long[balancers];
        }
    }

    public final Network network;
    public long now = 1_000 * SECOND;
    public long fetchesThisSecond;
    /** Elapsed time of handling peer messages and ticks. */
    public long controlNanos;

    private final Node[] nodes;
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::number));
    private final Random random;
    private final int routers;
    private final double hitsPerSecond;
    private final double originPerSecond;
    private long nextNumber;
    private long fetchesPreviousSecond;

    public FullMesh(Places places, int routers, double hitsPerSecond, double originPerSecond, long seed) {
        this.routers = routers;
        this.hitsPerSecond = hitsPerSecond;
        this.originPerSecond = originPerSecond;
        random = new Random(seed);
        network = new Network(places, seed + 1);
        nodes = new Node[places.balancers()];
        for (int b = 0; b < nodes.length; b++) {
            nodes[b] = new Node(nodes.length);
            start(b);
        }
    }

    public void start(int balancer) {
        Node node = nodes[balancer];
        node.down = false;
        node.rules = new Rules(settings(balancer, nodes.length, originPerSecond));
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= routers; i++) {
            servers.add(new Server(i, 1, "plain", State.RUNNING, "here", 0, i / 3));
        }
        servers.add(new Server(ORIGIN, 1, "origin", State.RUNNING, "here", 0, 0));
        event(balancer, new ServerList(ListKind.LAST_KNOWN, 1, servers));
    }

    public void kill(int balancer) {
        nodes[balancer].down = true;
    }

    public void setMissRate(int balancer, double perSecond) {
        nodes[balancer].missesPerSecond = perSecond;
    }

    /** Returns the largest origin allowance in effect at any running balancer. */
    public double allowance() {
        double most = 0;
        for (Node node : nodes) {
            most = node.down ? most : Math.max(most, node.rules.budget.effectiveAllowance());
        }
        return most;
    }

    /**
     * Returns the age of one balancer's state at another.
     *
     * @return seconds; NaN if no state has been received
     */
    public double stateAge(int sender, int receiver) {
        long sent = nodes[receiver].lastSendTimeMicros[sender];
        return sent == 0 ? Double.NaN : (now - sent) / (double) SECOND;
    }

    private void event(int balancer, Event event) {
        boolean control = event instanceof PeerMessage || event instanceof TimerFired;
        Node node = nodes[balancer];
        List<Action> actions = new ArrayList<>();
        long before = System.nanoTime();
        node.rules.decide(now, event, actions::add);
        controlNanos += control ? System.nanoTime() - before : 0;
        for (Action action : actions) {
            execute(balancer, node, action);
        }
    }

    private void execute(int balancer, Node node, Action action) {
        if (action instanceof SetTimer timer) {
            node.timerAt = now + timer.delayMicros();
        } else if (action instanceof TellPeer message) {
            for (int to = 0; to < nodes.length; to++) {
                if (to != balancer) {
                    network.send(now, balancer, to, message.content());
                }
            }
        } else if (action instanceof Send send && send.server() == ORIGIN) {
            fetchesThisSecond++;
            long micros = fetchesPreviousSecond > originPerSecond ? LATE_ORIGIN_MICROS : ORIGIN_MICROS;
            schedule(micros, () -> end(balancer, node.rules, send, Outcome.SERVED, micros));
        } else if (action instanceof Send send) {
            boolean hit = send.request().startsWith("h");
            Outcome outcome = hit ? Outcome.SERVED : Outcome.MISS;
            long micros = hit ? HIT_MICROS : STEP_MICROS;
            schedule(micros, () -> end(balancer, node.rules, send, outcome, micros));
        }
    }

    private void schedule(long micros, Runnable task) {
        scheduled.add(new Scheduled(now + micros, nextNumber++, task));
    }

    private void end(int balancer, Rules process, Send send, Outcome outcome, long micros) {
        if (nodes[balancer].rules == process && !nodes[balancer].down) {
            boolean done = outcome == Outcome.SERVED;
            int note = done ? 0 : 2;
            event(
                    balancer,
                    new AttemptEnded(send.request(), 0, send.server(), outcome, micros, done, note, new double[0]));
        }
    }

    /** Advances virtual time by {@code micros}, rounded up to whole steps. */
    public void advance(long micros) {
        for (long end = now + micros; now < end; ) {
            now += STEP_MICROS;
            network.deliver(now, this::receive);
            while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
                scheduled.poll().task().run();
            }
            for (int b = 0; b < nodes.length; b++) {
                if (!nodes[b].down) {
                    work(b, nodes[b]);
                }
            }
            if (now % SECOND == 0) {
                fetchesPreviousSecond = fetchesThisSecond;
            }
        }
    }

    private void receive(int from, int to, byte[] datagram) {
        if (!nodes[to].down) {
            // The state is as old as the message's delay.
            nodes[to].lastSendTimeMicros[from] = now - network.delayMicros(from, to);
            event(to, new PeerMessage(from, datagram));
        }
    }

    private void work(int balancer, Node node) {
        while (node.timerAt <= now) {
            node.timerAt = Long.MAX_VALUE;
            event(balancer, new TimerFired(1));
        }
        generateRequests(balancer, "h", hitsPerSecond);
        generateRequests(balancer, "m", node.missesPerSecond);
    }

    private void generateRequests(int balancer, String kind, double perSecond) {
        double mean = perSecond * STEP_MICROS / SECOND;
        // Knuth's Poisson sampling.
        for (double product = random.nextDouble(); product > Math.exp(-mean); product *= random.nextDouble()) {
            event(
                    balancer,
                    new Request(
                            kind + nextNumber++,
                            "read",
                            "t",
                            true,
                            random.nextLong(),
                            now + 1_500_000,
                            0,
                            0,
                            false,
                            false));
        }
    }

    /** Returns the elapsed time per balancer of handling peer messages and ticks, as a fraction of {@code seconds}. */
    public double controlShare(double seconds) {
        return controlNanos / NANOS_PER_SECOND / seconds / nodes.length;
    }

    private static Settings settings(int index, int balancers, double originPerSecond) {
        List<RequestClass> classes =
                List.of(new RequestClass("read", 800_000, 0, 1_500_000, Effect.SAFE, Group.ALL, 0, 2, 0, false));
        return new Settings(
                index,
                balancers,
                42 + index,
                "here",
                List.of("here"),
                List.of("plain", "origin"),
                List.of("tier"),
                0,
                classes,
                List.of(new Tenant("t", 1, 4 * originPerSecond)),
                Membership.PUSH,
                new Origin(Mode.ASIDE, 1, 3, 3 * SECOND),
                new Limits(6, 20_000, false, true, false, true, true, 2 * SECOND, 150_000, 30 * SECOND, 1, 0, 0),
                new RuleFigures(20_000, SECOND, 10 * SECOND, 0.3, 8 * SECOND, 3, SECOND),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0.01, 0, 0),
                new Goal(1, 0, 0, 0),
                Reports.NONE,
                List.of(),
                Weights.NONE,
                false,
                0.1,
                false,
                5_000);
    }
}
