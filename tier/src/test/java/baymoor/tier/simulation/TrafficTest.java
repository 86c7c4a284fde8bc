package baymoor.tier.simulation;

import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.RouterList;
import baymoor.tier.exchange.Sizes;
import baymoor.tier.exchange.Timing;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.stream.LongStream;
import org.junit.Test;

/** What the formula says messages come to, beside what is sent, and within the operators' budget. */
public class TrafficTest {

    private static final long SECOND = GroupTier.SECOND;
    private static final int ROUTERS = 180;
    /** Siblings that a message gives to on average: measured ones are below. */
    private static final int GIFTS = 3;

    @Test
    public void byTheFormulaEveryBalancerIsWithinTheBudgetAtEverySize() {
        for (int balancers : new int[] {1, 2, 13, 20, 100, 160, 320, 640}) {
            Places places = TestPlaces.of(balancers);
            for (int b = 0; b < balancers; b++) {
                double bytes = Sizes.traffic(places, b, Level.COUNT - 1, GIFTS, Timing.USUAL)
                        .bytes();
                assertTrue(balancers + " balancers: " + bytes, bytes < Sizes.BUDGET_BYTES_PER_SECOND);
            }
        }
    }

    @Test
    public void whatIsSentIsWhatTheFormulaSays() {
        Places places = TestPlaces.of(160);
        GroupTier tier = new GroupTier(places, 5, 50_000);
        tier.routers(new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray()));
        for (int b = 0; b < 160; b++) {
            tier.misses(b, b % 4 == 0 ? 20 : 3);
            tier.learned(b, 800);
        }
        tier.pass(16 * SECOND);
        tier.network.resetCounts();
        tier.pass(10 * SECOND);
        for (int b = 0; b < 160; b++) {
            int leases = tier.exchange(b).leases(tier.now);
            Sizes.Traffic most = Sizes.traffic(places, b, leases, GIFTS, Timing.USUAL);
            double messages = (tier.network.sentMessages[b] + tier.network.heardMessages[b]) / 10.0;
            double bytes = (tier.network.sentBytes[b] + tier.network.heardBytes[b]) / 10.0;
            assertTrue(b + ": " + messages + " of " + most, Math.abs(messages - most.messages()) <= 0.5);
            assertTrue(b + ": " + bytes + " of " + most, bytes <= most.bytes() && bytes > 0.7 * most.bytes());
        }
    }
}
