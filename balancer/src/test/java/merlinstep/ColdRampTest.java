package merlinstep;

import static org.junit.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TellPeer;
import org.junit.Test;

/**
 * Tests that all balancers of a tier together don't overload caches that have just started. In the time over which the
 * load is measured, a cold cache may be sent the N requests at which it falls, and 2 sqrt(N) + 2 more by chance.
 */
public class ColdRampTest {

    private static final int STEP_MICROS = 10_000;
    private static final long ANSWER_MICROS = 60_000;
    private static final int CACHES = 8;
    /** Requests per second for a warm cache at normal load. */
    private static final double NORMAL_RATE = 20;

    private static final double CAPACITY = NORMAL_RATE / 0.55;
    /**
     * A cold cache starts with 0.13 of its capacity, is warm after 23 s, and falls after 3 s at 1.5 times its capacity.
     */
    private static final RuleFigures RULES =
            new RuleFigures(20_000, 500_000, 10_000_000, 0.13, 23_000_000, 1.5, 3_000_000);

    private record Scheduled(long at, int number, Runnable task) {}

    /** What happens as the cold caches start. */
    private enum Fault {
        NONE,
        BURST,
        RESTARTED,
        SILENT,
        HALF_REPLACED,
        MISSES
    }

    private final List<Timeline> tier = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingInt(Scheduled::number));
    private final List<Deque<Long>> sent = new ArrayList<>();
    private Random random;
    private Fault fault;
    private long started;
    private int cold;
    private int nextNumber;
    private double worstWindow;

    private long now() {
        return tier.get(0).now;
    }

    private void schedule(long micros, Runnable task) {
        scheduled.add(new Scheduled(now() + micros, nextNumber++, task));
    }

    private void act(int balancer, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                boolean toCold = started > 0 && send.server() <= cold;
                if (toCold) {
                    count((int) send.server());
                }
                if (toCold && fault == Fault.SILENT) {
                    long left = send.timeoutMicros() > 0 ? send.timeoutMicros() : 1_400_000;
                    schedule(left, () -> act(balancer, tier.get(balancer).end(send, Outcome.TIMED_OUT)));
                } else {
                    boolean miss = toCold && fault == Fault.MISSES;
                    schedule(
                            miss ? ANSWER_MICROS / 3 : ANSWER_MICROS,
                            () -> act(balancer, tier.get(balancer).end(send, miss ? Outcome.MISS : Outcome.SERVED)));
                }
            } else if (action instanceof TellPeer message) {
                for (int to = 0; to < tier.size(); to++) {
                    int peer = to;
                    if (peer != balancer) {
                        schedule(
                                8_000,
                                () -> act(peer, tier.get(peer).event(new PeerMessage(balancer, message.content()))));
                    }
                }
            }
        }
    }

    /** Counts a request for a cold cache, and compares the last window with what is allowed. */
    private void count(int cache) {
        Deque<Long> calls = sent.get(cache);
        calls.add(now());
        while (calls.peek() <= now() - RULES.fallMicros()) {
            calls.poll();
        }
        double age = Math.min(1, (double) (now() - started) / RULES.coldMicros());
        double capacity = RULES.coldCapacity() + (1 - RULES.coldCapacity()) * age;
        double allowed = RULES.fallMultiple() * CAPACITY * capacity * RULES.fallMicros() / 1e6;
        worstWindow = Math.max(worstWindow, calls.size() / (allowed + 2 * Math.sqrt(allowed) + 2));
    }

    /** Returns the highest ratio of requests for a cold cache in a window to those allowed. */
    private double worstRatio(int balancers, Fault newFault, long seed) {
        tier.clear();
        scheduled.clear();
        sent.clear();
        random = new Random(seed);
        fault = newFault;
        started = 0;
        worstWindow = 0;
        cold = newFault == Fault.HALF_REPLACED ? CACHES / 2 : 1;
        for (int c = 0; c <= CACHES; c++) {
            sent.add(new ArrayDeque<>());
        }
        for (int i = 0; i < balancers; i++) {
            tier.add(start(i, balancers, 5 * Timeline.SECOND));
        }
        run(6, 1);
        started = now();
        List<Server> coldCaches = new ArrayList<>();
        for (int c = 1; c <= cold; c++) {
            coldCaches.add(Timeline.cache(c, State.RUNNING, started));
        }
        if (newFault == Fault.RESTARTED) {
            scheduled.clear();
            for (int i = 0; i < balancers; i++) {
                tier.set(i, start(i, balancers, started));
            }
        }
        for (Timeline timeline : tier) {
            timeline.list(ListKind.CHANGES, coldCaches);
        }
        run(3, 1);
        run(2, newFault == Fault.BURST ? 5 : 1);
        run(4, 1);
        return worstWindow;
    }

    private static Timeline start(int index, int balancers, long at) {
        Timeline timeline = new Timeline(Timeline.withRules(Timeline.settings(index, balancers, 6), RULES), at);
        timeline.list(ListKind.LAST_KNOWN, Timeline.servers(CACHES));
        return timeline;
    }

    private void run(int seconds, double factor) {
        double each = factor * NORMAL_RATE * CACHES / tier.size() * STEP_MICROS / 1e6;
        for (long end = now() + seconds * Timeline.SECOND; now() < end; ) {
            for (int i = 0; i < tier.size(); i++) {
                act(i, tier.get(i).pass(STEP_MICROS));
            }
            while (!scheduled.isEmpty() && scheduled.peek().at() <= now()) {
                scheduled.poll().task().run();
            }
            for (int i = 0; i < tier.size(); i++) {
                for (double left = each; left > 0; left--) {
                    if (random.nextDouble() < left) {
                        act(i, tier.get(i).read("r" + nextNumber++, Hash.mix(random.nextInt(20_000) + 1)));
                    }
                }
            }
        }
    }

    @Test
    public void coldCachesAreNotOverloadedByTiersOfAnySize() {
        StringBuilder table = new StringBuilder();
        boolean all = true;
        for (Fault tested : Fault.values()) {
            for (int balancers : new int[] {1, 4, 20, 30, 100}) {
                double worst = 0;
                for (long seed = 1; seed <= 3; seed++) {
                    worst = Math.max(worst, worstRatio(balancers, tested, 100 * balancers + seed));
                }
                all &= worst <= 1;
                table.append(tested)
                        .append(' ')
                        .append(balancers)
                        .append(" balancers: ")
                        .append(worst)
                        .append('\n');
            }
        }
        assertTrue(table.toString(), all);
    }
}
