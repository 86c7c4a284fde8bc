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
 * What all balancers of a tier together send to caches that have just started, against what the settings allow: N calls in the
 * time in which a cold one falls, N being the multiple at which it falls of what it can do then; past it only 2 sqrt(N) + 2 are
 * put down to chance. What a warm cache can do is taken to be twice what it is sent in quiet times.
 */
public class ColdRampTest {

    private static final int STEP = 10_000;
    private static final long ANSWER = 60_000;
    private static final int CACHES = 8;
    /** Calls a second that a warm cache takes in quiet times. */
    private static final double USUAL = 20;

    private static final double CAPACITY = USUAL / 0.55;
    /** A cold cache has 0.13 of that at first, is warm after 23 s, and falls after 3 s of 1.5 times what it can do. */
    private static final RuleFigures RULES =
            new RuleFigures(20_000, 500_000, 10_000_000, 0.13, 23_000_000, 1.5, 3_000_000);

    private record Later(long at, int number, Runnable what) {}

    /** What befalls the tier. */
    private enum Trouble {
        NONE,
        BURST,
        RESTARTED,
        SILENT,
        HALF_REPLACED,
        MISSES
    }

    private final List<Timeline> tier = new ArrayList<>();
    private final PriorityQueue<Later> later =
            new PriorityQueue<>(Comparator.comparingLong(Later::at).thenComparingInt(Later::number));
    private final List<Deque<Long>> sent = new ArrayList<>();
    private Random chance;
    private Trouble trouble;
    private long started;
    private int cold;
    private int number;
    private double most;

    private long now() {
        return tier.get(0).now;
    }

    private void after(long micros, Runnable what) {
        later.add(new Later(now() + micros, number++, what));
    }

    private void act(int me, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send) {
                boolean toCold = started > 0 && send.server() <= cold;
                if (toCold) {
                    count((int) send.server());
                }
                if (toCold && trouble == Trouble.SILENT) {
                    long left = send.timeoutMicros() > 0 ? send.timeoutMicros() : 1_400_000;
                    after(left, () -> act(me, tier.get(me).end(send, Outcome.TIMED_OUT)));
                } else {
                    boolean miss = toCold && trouble == Trouble.MISSES;
                    after(
                            miss ? ANSWER / 3 : ANSWER,
                            () -> act(me, tier.get(me).end(send, miss ? Outcome.MISS : Outcome.SERVED)));
                }
            } else if (action instanceof TellPeer told) {
                for (int to = 0; to < tier.size(); to++) {
                    int peer = to;
                    if (peer != me) {
                        after(8_000, () -> act(peer, tier.get(peer).event(new PeerMessage(me, told.content()))));
                    }
                }
            }
        }
    }

    /** One more call for a cold cache: how the last window of its fall stands against what is allowed. */
    private void count(int cache) {
        Deque<Long> calls = sent.get(cache);
        calls.add(now());
        while (calls.peek() <= now() - RULES.fallMicros()) {
            calls.poll();
        }
        double age = Math.min(1, (double) (now() - started) / RULES.coldMicros());
        double part = RULES.coldCapacity() + (1 - RULES.coldCapacity()) * age;
        double n = RULES.fallMultiple() * CAPACITY * part * RULES.fallMicros() / 1e6;
        most = Math.max(most, calls.size() / (n + 2 * Math.sqrt(n) + 2));
    }

    /** The most that cold caches were sent in a window, against what is allowed. */
    private double most(int balancers, Trouble what, long seed) {
        tier.clear();
        later.clear();
        sent.clear();
        chance = new Random(seed);
        trouble = what;
        started = 0;
        most = 0;
        cold = what == Trouble.HALF_REPLACED ? CACHES / 2 : 1;
        for (int c = 0; c <= CACHES; c++) {
            sent.add(new ArrayDeque<>());
        }
        for (int i = 0; i < balancers; i++) {
            tier.add(start(i, balancers, 5 * Timeline.SECOND));
        }
        run(6, 1);
        started = now();
        List<Server> fresh = new ArrayList<>();
        for (int c = 1; c <= cold; c++) {
            fresh.add(Timeline.cache(c, State.RUNNING, started));
        }
        if (what == Trouble.RESTARTED) {
            later.clear();
            for (int i = 0; i < balancers; i++) {
                tier.set(i, start(i, balancers, started));
            }
        }
        for (Timeline t : tier) {
            t.list(ListKind.CHANGES, fresh);
        }
        run(3, 1);
        run(2, what == Trouble.BURST ? 5 : 1);
        run(4, 1);
        return most;
    }

    private static Timeline start(int index, int balancers, long at) {
        Timeline t = new Timeline(Timeline.withRules(Timeline.settings(index, balancers, 6), RULES), at);
        t.list(ListKind.LAST_KNOWN, Timeline.servers(CACHES));
        return t;
    }

    private void run(int seconds, double times) {
        double each = times * USUAL * CACHES / tier.size() * STEP / 1e6;
        for (long end = now() + seconds * Timeline.SECOND; now() < end; ) {
            for (int i = 0; i < tier.size(); i++) {
                act(i, tier.get(i).pass(STEP));
            }
            while (!later.isEmpty() && later.peek().at() <= now()) {
                later.poll().what().run();
            }
            for (int i = 0; i < tier.size(); i++) {
                for (double left = each; left > 0; left--) {
                    if (chance.nextDouble() < left) {
                        act(i, tier.get(i).read("r" + number++, Hash.mix(chance.nextInt(20_000) + 1)));
                    }
                }
            }
        }
    }

    @Test
    public void theRampHoldsForTheFleetWhateverItsSize() {
        StringBuilder table = new StringBuilder();
        boolean all = true;
        for (Trouble what : Trouble.values()) {
            for (int balancers : new int[] {1, 4, 20, 30, 100}) {
                double worst = 0;
                for (long seed = 1; seed <= 3; seed++) {
                    worst = Math.max(worst, most(balancers, what, 100 * balancers + seed));
                }
                all &= worst <= 1;
                table.append(what)
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
