package baymoor.tier.simulation;

import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.RouterList;
import baymoor.tier.exchange.Timing;
import baymoor.tier.exchange.TrafficEstimate;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.stream.LongStream;
import org.junit.Test;

/** Checks the traffic estimate against the traffic budget and against simulated traffic. */
public class TrafficTest {

    private static final long SECOND = SimulatedTier.SECOND;
    private static final int ROUTERS = 180;
    /** The average number of siblings that a message transfers units to. */
    private static final int TRANSFERS = 3;

    @Test
    public void estimatedTrafficIsWithinBudgetAtEverySize() {
        for (int balancers : new int[] {1, 2, 13, 20, 100, 160, 320, 640}) {
            Places places = TestPlaces.of(balancers);
            for (int b = 0; b < balancers; b++) {
                double bytes = TrafficEstimate.traffic(places, b, Level.COUNT - 1, TRANSFERS, Timing.DEFAULT)
                        .bytes();
                assertTrue(balancers + " balancers: " + bytes, bytes < TrafficEstimate.BUDGET_BYTES_PER_SECOND);
            }
        }
    }

    @Test
    public void measuredTrafficMatchesEstimate() {
        Places places = TestPlaces.of(160);
        SimulatedTier tier = new SimulatedTier(places, 5, 50_000);
        tier.setRouters(new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray()));
        for (int b = 0; b < 160; b++) {
            tier.setMissRate(b, b % 4 == 0 ? 20 : 3);
            tier.setLearnedRate(b, 800);
        }
        tier.advance(16 * SECOND);
        tier.network.resetCounts();
        tier.advance(10 * SECOND);
        for (int b = 0; b < 160; b++) {
            int leases = tier.exchange(b).heldLeases(tier.nowMicros);
            TrafficEstimate.Traffic estimate = TrafficEstimate.traffic(places, b, leases, TRANSFERS, Timing.DEFAULT);
            double messages = (tier.network.sentMessages[b] + tier.network.receivedMessages[b]) / 10.0;
            double bytes = (tier.network.sentBytes[b] + tier.network.receivedBytes[b]) / 10.0;
            assertTrue(b + ": " + messages + " of " + estimate, Math.abs(messages - estimate.messages()) <= 0.5);
            assertTrue(
                    b + ": " + bytes + " of " + estimate, bytes <= estimate.bytes() && bytes > 0.7 * estimate.bytes());
        }
    }
}
