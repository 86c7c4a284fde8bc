package baymoor.tier.message;

import baymoor.tier.split.RobustRate;
import baymoor.tier.split.RobustRate.Estimate;
import java.util.ArrayList;
import java.util.List;

/**
 * What a balancer, or all balancers of a group together, say of themselves. Fetches, answers and failures are those of the
 * last epoch.
 *
 * @param members balancers that it stands for
 * @param fetched fetches from the store
 * @param queued misses that wait for a credit
 * @param weight sum of the weights of what was fetched and what waits
 * @param credits credits that are not spent
 * @param draw a random number for the removal of a surplus
 * @param rate the estimate of the allowance, fetches a second; 0 where nothing has been learned
 * @param answers answers of the store
 * @param latencyMillis the sum of their times
 * @param failures fetches that failed or timed out
 */
public record Totals(
        int members,
        long fetched,
        long queued,
        double weight,
        long credits,
        int draw,
        double rate,
        long answers,
        long latencyMillis,
        long failures) {

    /** Of nobody. */
    public static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** The same with another draw. */
    public Totals withDraw(int newDraw) {
        return new Totals(members, fetched, queued, weight, credits, newDraw, rate, answers, latencyMillis, failures);
    }

    /** All together, with the median of their estimates. */
    public static Totals sum(List<Totals> parts) {
        Totals sum = NONE;
        List<Estimate> rates = new ArrayList<>();
        for (Totals part : parts) {
            sum = sum.plus(part);
            rates.add(new Estimate(part.rate, part.members));
        }
        return new Totals(
                sum.members,
                sum.fetched,
                sum.queued,
                sum.weight,
                sum.credits,
                0,
                RobustRate.of(rates),
                sum.answers,
                sum.latencyMillis,
                sum.failures);
    }

    private Totals plus(Totals other) {
        return new Totals(
                members + other.members,
                fetched + other.fetched,
                queued + other.queued,
                weight + other.weight,
                credits + other.credits,
                0,
                0,
                answers + other.answers,
                latencyMillis + other.latencyMillis,
                failures + other.failures);
    }
}
