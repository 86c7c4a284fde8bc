package baymoor.tier.split;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.tier.split.RobustRate.Estimate;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RobustRateTest {

    private static final String SEED = "4713";

    @Property(seed = SEED, tries = 300)
    void minorityCannotMoveMedianOutsideMajorityRange(
            @ForAll @IntRange(min = 1, max = 350) int correctCount,
            @ForAll @IntRange(min = 0, max = 349) int maxFaultyCount,
            @ForAll double outlier) {
        List<Estimate> estimates = new ArrayList<>();
        for (int i = 0; i < correctCount; i++) {
            estimates.add(new Estimate(100 + i % 7, 1));
        }
        for (int i = 0; i < Math.min(maxFaultyCount, correctCount - 1); i++) {
            estimates.add(new Estimate(Math.abs(outlier) + 1, 1));
        }
        double rate = RobustRate.of(estimates);
        assertTrue("" + rate, rate >= 100 && rate <= 106);
    }

    /** A rate of 0 means unknown. */
    @Example
    void weightsEstimatesByMemberCountAndIgnoresUnknownRates() {
        assertEquals(50, RobustRate.of(List.of(new Estimate(50, 10), new Estimate(10, 4), new Estimate(10, 5))), 0);
        assertEquals(10, RobustRate.of(List.of(new Estimate(0, 100), new Estimate(10, 1))), 0);
        assertEquals(0, RobustRate.of(List.of(new Estimate(0, 100))), 0);
        assertEquals(0, RobustRate.of(List.of()), 0);
    }
}
