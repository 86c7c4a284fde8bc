package merlinstep;

/** Count-min sketch of the requests per key, with two rows and decay by halving. */
final class KeyCounts {

    private final int[] counters;
    private final int rowSize;
    private double total;

    /** {@code rowSize} is a power of two. */
    KeyCounts(int rowSize) {
        this.rowSize = rowSize;
        counters = new int[2 * rowSize];
    }

    /** Counts a request and returns the estimated fraction of all requests that earlier ones for its key are. */
    double add(long key) {
        long hash = Hash.mix(key ^ 0x5bd1e995L);
        int first = (int) (hash & rowSize - 1);
        int second = rowSize + (int) (hash >>> 20 & rowSize - 1);
        counters[first]++;
        counters[second]++;
        total++;
        return (Math.min(counters[first], counters[second]) - 1) / total;
    }

    /** Returns the number of requests, after decay. */
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
