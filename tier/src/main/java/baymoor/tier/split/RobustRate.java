package baymoor.tier.split;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Combines estimates of a rate into their median, weighted by the number of balancers behind each estimate. Faulty estimates
 * from fewer than half of the balancers cannot move the result outside the range of the other estimates.
 */
public final class RobustRate {

    /**
     * An estimate of the allowance.
     *
     * @param perSecond the allowance in fetches per second, or 0 if unknown
     * @param members the number of balancers behind the estimate
     */
    public record Estimate(double perSecond, int members) {}

    private RobustRate() {}

    /** Returns the weighted lower median of the known estimates, or 0 if there are none. */
    public static double of(List<Estimate> estimates) {
        List<Estimate> known = new ArrayList<>();
        long totalMembers = 0;
        for (Estimate estimate : estimates) {
            if (estimate.perSecond() > 0 && estimate.members() > 0) {
                known.add(estimate);
                totalMembers += estimate.members();
            }
        }
        known.sort(Comparator.comparingDouble(Estimate::perSecond));
        long cumulativeMembers = 0;
        for (Estimate estimate : known) {
            cumulativeMembers += estimate.members();
            if (2 * cumulativeMembers >= totalMembers) {
                return estimate.perSecond();
            }
        }
        return 0;
    }
}
