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
 * Tests a bound of the fetches of a whole tier in a period, under loss and delay of messages: twice X, as states may be
 * a second old, and one saved credit per balancer.
 */
public class TierCreditsTest {

    private static final int STEP_MICROS = 10_000;
    private static final long ANSWER_MICROS = 30_000;

    private record Scheduled(long at, int number, Runnable task) {}

    private final List<Timeline> tier = new ArrayList<>();
    private final PriorityQueue<Scheduled> scheduled =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingInt(Scheduled::number));
    private Random random;
    private double loss;
    private int maxDelayMicros;
    private int nextNumber;
    private int fetched;

    private void schedule(long micros, Runnable task) {
        scheduled.add(new Scheduled(tier.get(0).now + micros, nextNumber++, task));
    }

    private void act(int balancer, List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send send && send.server() == Timeline.ORIGIN) {
                fetched++;
                schedule(ANSWER_MICROS, () -> act(balancer, tier.get(balancer).end(send, Outcome.SERVED)));
            } else if (action instanceof Send send) {
                act(balancer, tier.get(balancer).end(send, Outcome.MISS));
            } else if (action instanceof TellPeer message) {
                for (int to = 0; to < tier.size(); to++) {
                    int peer = to;
                    if (peer != balancer && random.nextDouble() >= loss) {
                        schedule(
                                random.nextInt(maxDelayMicros + 1),
                                () -> act(peer, tier.get(peer).event(new PeerMessage(balancer, message.content()))));
                    }
                }
            }
        }
    }

    /** Returns the highest ratio of a period's fetches to its bound. */
    private double worstRatio(int balancers, double misses, int periods, boolean priced) {
        tier.clear();
        scheduled.clear();
        for (int i = 0; i < balancers; i++) {
            tier.add(priced ? Timeline.withPricedMessages(i, balancers, 3) : Timeline.with(i, balancers, 3));
        }
        double worst = 0;
        double before = allowance();
        for (int period = 0; period < periods; period++) {
            fetched = 0;
            for (int step = 0; step < Timeline.SECOND / STEP_MICROS; step++) {
                for (int i = 0; i < balancers; i++) {
                    act(i, tier.get(i).pass(STEP_MICROS));
                }
                while (!scheduled.isEmpty() && scheduled.peek().at() <= tier.get(0).now) {
                    scheduled.poll().task().run();
                }
                for (int i = 0; i < balancers; i++) {
                    if (random.nextDouble() < misses * (i % 4 == 0 ? 3 : 1) * STEP_MICROS / 1e6) { // uneven load
                        act(i, tier.get(i).read("r" + nextNumber++, random.nextLong()));
                    }
                }
            }
            double now = allowance();
            worst = Math.max(worst, fetched / (2 * Math.max(before, now) + balancers));
            before = now;
        }
        return worst;
    }

    private double allowance() {
        return tier.stream()
                .mapToDouble(timeline -> timeline.rules.budget.effectiveAllowance())
                .max()
                .orElseThrow();
    }

    @Test
    public void fetchesOfATierStayWithinTwiceXAndOnePerBalancer() {
        int[][] tiers = {{1, 400}, {2, 200}, {3, 150}, {7, 60}, {20, 20}, {50, 12}, {120, 6}};
        for (int[] tierSpec : tiers) {
            for (int draw = 0; draw < 3; draw++) {
                random = new Random(1000L * tierSpec[0] + draw);
                loss = draw == 0 ? 0 : random.nextDouble();
                maxDelayMicros = draw == 0 ? 8_000 : random.nextInt(800_000);
                double worst = worstRatio(tierSpec[0], tierSpec[1], tierSpec[0] > 100 ? 3 : 6, draw != 1);
                assertTrue(
                        tierSpec[0] + " balancers, draw " + draw + ", loss " + loss + ", delay up to " + maxDelayMicros
                                + " us: " + worst,
                        worst <= 1);
            }
        }
    }
}
