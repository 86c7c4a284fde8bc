package merlinstep;

/**
 * Estimates the share of each key among the requests by a count-min sketch with two rows, whose counts decay by
 * halving.
 */
final class KeyCounts {

    private static final int ROWS = 2;
    private static final long KEY_SALT = 0x5bd1e995L;

    private final int[] counters;
    private final int rowSize;
    private double total;

    /**
     * Creates a sketch without counts.
     *
     * @param rowSize number of counters per row; a power of two
     */
    KeyCounts(int rowSize) {
        this.rowSize = rowSize;
        counters = new int[ROWS * rowSize];
    }

    /**
     * Counts a request and returns the estimated share of its key among all counted requests, this one excluded from
     * the key's count.
     */
    double add(long key) {
        long hash = Hash.mix(key ^ KEY_SALT);
        int first = (int) (hash & rowSize - 1);
        int second = rowSize + (int) (hash >>> 20 & rowSize - 1);
        counters[first]++;
        counters[second]++;
        total++;
        return (Math.min(counters[first], counters[second]) - 1) / total;
    }

    /** Returns the decayed number of requests. */
    double total() {
        return total;
    }

    /** Halves all counts. */
    void halve() {
        total /= 2;
        for (int i = 0; i < counters.length; i++) {
            counters[i] /= 2;
        }
    }
}
