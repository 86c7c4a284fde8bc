package baymoor.tier.split;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * One rate from many estimates of it: their median, weighted by the number of balancers behind each. Fewer than half of the
 * balancers can neither raise it above nor lower it below what the others estimate.
 */
public final class RobustRate {

    /**
     * An estimate of the allowance.
     *
     * @param perSecond fetches a second; 0 where nothing has been learned yet
     * @param members the number of balancers that it stands for
     */
    public record Estimate(double perSecond, int members) {}

    private RobustRate() {}

    /** The weighted lower median of all estimates that have learned something, or 0 where none has. */
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
