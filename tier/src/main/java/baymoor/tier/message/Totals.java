package baymoor.tier.message;

import baymoor.tier.split.RobustRate;
import baymoor.tier.split.RobustRate.Estimate;
import java.util.ArrayList;
import java.util.List;

/**
 * The totals reported by a balancer, or the sums over a set of balancers. The fetches, responses and failures are those of the
 * last epoch. Immutable.
 *
 * @param members the number of balancers included
 * @param fetched the number of fetches from the origin
 * @param queued the number of misses waiting for a credit
 * @param weight the sum of the weights of the fetched and the queued misses
 * @param credits the number of unspent credits
 * @param draw a random number that decides who gives up units of a surplus
 * @param rate the estimated allowance in fetches per second, or 0 if unknown
 * @param responses the number of responses from the origin
 * @param totalLatencyMillis the sum of the response latencies in milliseconds
 * @param failures the number of fetches that failed or timed out
 */
public record Totals(
        int members,
        long fetched,
        long queued,
        double weight,
        long credits,
        int draw,
        double rate,
        long responses,
        long totalLatencyMillis,
        long failures) {

    /** The totals of no balancers. */
    public static final Totals NONE = new Totals(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns a copy with another draw. */
    public Totals withDraw(int newDraw) {
        return new Totals(
                members, fetched, queued, weight, credits, newDraw, rate, responses, totalLatencyMillis, failures);
    }

    /** Returns the sums over all parts, with the weighted median of the rates and without a draw. */
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
                sum.responses,
                sum.totalLatencyMillis,
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
                responses + other.responses,
                totalLatencyMillis + other.totalLatencyMillis,
                failures + other.failures);
    }
}
