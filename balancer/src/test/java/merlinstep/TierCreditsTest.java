package merlinstep;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.TellPeer;
import org.junit.Test;

/**
 * What a whole tier fetches in a period, of any size and however many of its messages are lost or late. Each goes by what the others
 * told, up to a second ago: in the worst period what was fetched since is granted once more, and each may have kept one credit.
 * So no more than twice X and one for each balancer.
 */
public class TierCreditsTest {

    private static final int STEP = 10_000;
    private static final long ANSWER = 30_000;

    private record Later(long at, int number, Runnable what) {}

    private final List<Timeline> tier = new ArrayList<>();
    private final PriorityQueue<Later> later =
            new PriorityQueue<>(Comparator.comparingLong(Later::at).thenComparingInt(Later::number));
    private Random chance;
    private double loss;
    private int late;
    private int number;
    private int fetched;

    private void after(long micros, Runnable what) {
        later.add(new Later(tier.get(0).now + micros, number++, what));
    }

    private void act(int me, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send && send.server() == Timeline.ORIGIN) {
                fetched++;
                after(ANSWER, () -> act(me, tier.get(me).end(send, Outcome.SERVED)));
            } else if (action instanceof Send send) {
                act(me, tier.get(me).end(send, Outcome.MISS));
            } else if (action instanceof TellPeer told) {
                for (int to = 0; to < tier.size(); to++) {
                    int peer = to;
                    if (peer != me && chance.nextDouble() >= loss) {
                        after(
                                chance.nextInt(late + 1),
                                () -> act(peer, tier.get(peer).event(new PeerMessage(me, told.content()))));
                    }
                }
            }
        }
    }

    /** The most that a period's fetches came to, against what the periods around it allowed. */
    private double most(int balancers, double misses, int periods, boolean dear) {
        tier.clear();
        later.clear();
        for (int i = 0; i < balancers; i++) {
            tier.add(dear ? Timeline.withDearMessages(i, balancers, 3) : Timeline.with(i, balancers, 3));
        }
        double most = 0;
        double before = allowance();
        for (int period = 0; period < periods; period++) {
            fetched = 0;
            for (int step = 0; step < Timeline.SECOND / STEP; step++) {
                for (int i = 0; i < balancers; i++) {
                    act(i, tier.get(i).pass(STEP));
                }
                while (!later.isEmpty() && later.peek().at() <= tier.get(0).now) {
                    later.poll().what().run();
                }
                for (int i = 0; i < balancers; i++) {
                    if (chance.nextDouble()
                            < misses * (i % 4 == 0 ? 3 : 1) * STEP / 1e6) { // some have more than others
                        act(i, tier.get(i).read("r" + number++, chance.nextLong()));
                    }
                }
            }
            double now = allowance();
            most = Math.max(most, fetched / (2 * Math.max(before, now) + balancers));
            before = now;
        }
        return most;
    }

    private double allowance() {
        return tier.stream()
                .mapToDouble(t -> t.rules.budget.effectiveAllowance())
                .max()
                .orElseThrow();
    }

    @Test
    public void aTierOfAnySizeStaysWithinTwiceXAndOneForEachWhateverIsLostOrLate() {
        int[][] tiers = {{1, 400}, {2, 200}, {3, 150}, {7, 60}, {20, 20}, {50, 12}, {120, 6}};
        for (int[] one : tiers) {
            for (int draw = 0; draw < 3; draw++) {
                chance = new Random(1000L * one[0] + draw);
                loss = draw == 0 ? 0 : chance.nextDouble();
                late = draw == 0 ? 8_000 : chance.nextInt(800_000);
                double most = most(one[0], one[1], one[0] > 100 ? 3 : 6, draw != 1);
                assertTrue(
                        one[0] + " balancers, draw " + draw + ", loss " + loss + ", late by " + late + " us: " + most,
                        most <= 1);
            }
        }
    }
}
