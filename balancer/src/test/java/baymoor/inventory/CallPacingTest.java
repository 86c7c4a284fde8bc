package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.inventory.CallPacing.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.Test;

public class CallPacingTest {

    private static final int[] TIER_SIZES = {2, 3, 7, 20, 100, 110, 640};

    private static List<CallPacing> tier(int callers) {
        return IntStream.range(0, callers)
                .mapToObj(i -> new CallPacing(callers, i, 31L * i))
                .toList();
    }

    private static List<Long> delays(List<CallPacing> tier) {
        return tier.stream().map(CallPacing::nextDelayMicros).sorted().toList();
    }

    @Test
    public void singleBalancerIsNeverDelayed() {
        CallPacing pacing = new CallPacing(1, 0, 7);
        for (int i = 0; i < 9; i++) {
            assertEquals(0, pacing.nextDelayMicros());
            pacing.recordOutcome(Outcome.REJECTED);
        }
    }

    /** After a mass restart, calls are spread evenly in the first and every later round. */
    @Test
    public void simultaneousCallersAreSpacedEvenly() {
        for (int callers : TIER_SIZES) {
            List<CallPacing> tier = tier(callers);
            for (int round = 0; round < 8; round++) {
                long window = tier.get(0).windowMicros();
                List<Long> delays = delays(tier);
                for (int position = 0; position < callers; position++) {
                    long delay = delays.get(position);
                    assertTrue(
                            callers + " callers, position " + position + ": " + delay,
                            delay >= position * window / callers - 1 && delay <= (position + 1) * window / callers + 1);
                }
                tier.forEach(pacing -> pacing.recordOutcome(Outcome.REJECTED));
            }
        }
    }

    @Test
    public void positionsRotateAmongCallers() {
        for (int callers : new int[] {20, 110, 640}) {
            for (CallPacing pacing : tier(callers)) {
                List<Long> delays = new ArrayList<>();
                for (int round = 0; round < 12; round++) {
                    delays.add(pacing.nextDelayMicros());
                }
                double mean =
                        delays.stream().mapToLong(delay -> delay).average().orElse(0) / pacing.windowMicros();
                assertTrue(callers + " callers, mean " + mean, mean > 0.3 && mean < 0.7);
            }
        }
    }

    @Test
    public void initialWindowGrowsWithTierSize() {
        for (int callers : TIER_SIZES) {
            assertEquals((callers - 1) * 20_000L, new CallPacing(callers, 0, 1).windowMicros());
        }
    }

    @Test
    public void windowFollowsCallOutcomesAndRecovery() {
        CallPacing pacing = new CallPacing(100, 3, 1);
        long first = pacing.windowMicros();
        for (int doublings : new int[] {1, 2, 3, 3, 3}) {
            pacing.recordOutcome(Outcome.REJECTED);
            assertEquals(first << doublings, pacing.windowMicros());
        }
        pacing.recordOutcome(Outcome.TIMED_OUT);
        assertEquals("a timeout leaves the window unchanged", first << 3, pacing.windowMicros());
        pacing.recordOutcome(Outcome.ANSWERED);
        assertEquals(first, pacing.windowMicros());
        pacing.recordOutcome(Outcome.REJECTED);
        pacing.discoveryRecovered();
        assertEquals("recovery keeps the backoff of one rejection", first << 1, pacing.windowMicros());
        pacing.recordOutcome(Outcome.REJECTED);
        pacing.recordOutcome(Outcome.REJECTED);
        pacing.discoveryRecovered();
        assertEquals("backoff is limited after recovery", first << 2, pacing.windowMicros());
        pacing.recordOutcome(Outcome.CONNECTION_FAILED);
        assertEquals("a failed connection resets the window", first, pacing.windowMicros());
    }

    /** Discovery may queue a call for up to 3 s; such a call must not be hedged before that. */
    @Test
    public void callThatMayBeQueuedIsHedgedLater() {
        assertEquals(2_000_000, new CallPacing(1, 0, 1).hedgeDelayMicros());
        assertEquals(2_000_000, new CallPacing(20, 0, 1).hedgeDelayMicros());
        for (int callers : new int[] {110, 640}) {
            assertTrue(new CallPacing(callers, 0, 1).hedgeDelayMicros() > 3_000_000);
        }
        CallPacing overloaded = new CallPacing(5, 0, 1);
        overloaded.recordOutcome(Outcome.REJECTED);
        assertTrue(overloaded.hedgeDelayMicros() > 3_000_000);
    }

    @Test
    public void sameSeedGivesTheSameDelays() {
        CallPacing first = new CallPacing(100, 9, 5);
        CallPacing second = new CallPacing(100, 9, 5);
        for (int i = 0; i < 50; i++) {
            assertEquals(first.nextDelayMicros(), second.nextDelayMicros());
        }
    }
}
