package baymoor.tier.split;

import java.util.Arrays;

/**
 * The weighted split of DoWSS: each participant gets the ceiling of its weighted share, and the participants with the lowest
 * random draws give up the surplus. Stateless; any thread may call it.
 */
public final class Split {

    /** Keeps a quotient that exceeds an integer only by a rounding error from being rounded up. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private Split() {}

    /**
     * Returns the shares of all participants. They add up to {@code total}, or to 0 if {@code total} or the sum of the weights
     * is not positive.
     *
     * @param total the number of units to divide
     * @param weights the weight of each participant; a participant with weight 0 gets no share
     * @param draws a random number for each participant; those with the lowest draws give up one unit of the surplus each, and
     *     ties are broken by index
     */
    public static long[] shares(long total, double[] weights, int[] draws) {
        long[] shares = new long[weights.length];
        double sum = Arrays.stream(weights).sum();
        if (sum <= 0 || total <= 0) {
            return shares;
        }
        long surplus = -total;
        for (int i = 0; i < weights.length; i++) {
            shares[i] = (long) Math.ceil(total * weights[i] / sum - ROUNDING_TOLERANCE);
            surplus += shares[i];
        }
        removeSurplus(shares, draws, surplus);
        return shares;
    }

    private static void removeSurplus(long[] shares, int[] draws, long surplus) {
        long[] sortKeys = new long[shares.length];
        int count = 0;
        for (int i = 0; i < shares.length; i++) {
            if (shares[i] > 0) {
                sortKeys[count++] = ((long) draws[i] << Integer.SIZE) + i;
            }
        }
        Arrays.sort(sortKeys, 0, count);
        for (int rank = 0; rank < Math.min(surplus, count); rank++) {
            shares[(int) sortKeys[rank]]--;
        }
    }
}
