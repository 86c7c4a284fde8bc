package baymoor.tier.split;

import java.util.Arrays;

/** The weighted split of DoWSS: ceilings of the weighted parts, and the surplus removed by the lowest random draws. */
public final class Split {

    /** Tolerance for quotients that are whole but for rounding. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private Split() {}

    /**
     * The shares of all participants. Their sum is {@code total}, or less where fewer participants have a weight than the
     * surplus has units.
     *
     * @param total what is to be divided
     * @param weights the weight of each participant; 0 takes no part
     * @param draws a random number for each participant; the lowest ones give up a unit of the surplus, ties by index
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
