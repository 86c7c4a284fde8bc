package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class CreditsTest {

    private static final String SEED = "4718";
    private static final long SECOND = 1_000_000;

    /** In any second at most the accrued credits, one stored credit and the burst are spent. */
    @Property(seed = SEED, tries = 300)
    void spendingPerSecondIsBoundedByRateAndBurst(
            @ForAll @IntRange(min = 0, max = 400) int tenthsPerSecond, @ForAll long seed) {
        Random random = new Random(seed);
        double perSecond = tenthsPerSecond / 10.0;
        Credits credits = new Credits(0);
        long now = 0;
        for (int second = 0; second < 5; second++) {
            now += random.nextInt(3) * SECOND; // an idle time of up to two seconds
            credits.accrue(now, perSecond);
            int spent = 0;
            for (int step = 0; step < 100; step++) {
                now += SECOND / 100;
                credits.accrue(now, perSecond);
                while (random.nextInt(3) > 0 && credits.trySpend()) {
                    spent++;
                }
            }
            double limit = perSecond * (1 + Credits.BURST_SECONDS) + 1;
            assertTrue(spent + " of " + limit, spent <= limit + 1e-6);
        }
    }

    @Example
    void fractionalRateAccumulatesToWholeCredits() {
        Credits credits = new Credits(0);
        int spent = 0;
        for (int second = 1; second <= 100; second++) {
            credits.accrue(second * SECOND, 0.1);
            spent += credits.trySpend() ? 1 : 0;
        }
        assertTrue("" + spent, spent == 10 || spent == 9);
    }

    @Example
    void backwardClockAccruesNothing() {
        Credits credits = new Credits(10 * SECOND);
        credits.accrue(5 * SECOND, 100);
        assertEquals(0, credits.available());
    }
}
