package merlinstep;

/** Counts keys in fixed space: two rows of counters, of which the lower is the better guess. */
final class KeyCounts {

    private final int[] counters;
    private final int rowSize;
    private double total;

    /** {@code rowSize} is a power of two. */
    KeyCounts(int rowSize) {
        this.rowSize = rowSize;
        counters = new int[2 * rowSize];
    }

    /** Counts one more request for the key, and gives the part of all requests that others for it were. */
    double add(long key) {
        long hash = Hash.mix(key ^ 0x5bd1e995L);
        int first = (int) (hash & rowSize - 1);
        int second = rowSize + (int) (hash >>> 20 & rowSize - 1);
        counters[first]++;
        counters[second]++;
        total++;
        return (Math.min(counters[first], counters[second]) - 1) / total;
    }

    /** All that was counted, less what was forgotten. */
    double total() {
        return total;
    }

    /** Forgets half of what was counted. */
    void halve() {
        total /= 2;
        for (int i = 0; i < counters.length; i++) {
            counters[i] /= 2;
        }
    }
}
