package baymoor.benchmarks;

/**
 * The size of a benchmarked tier, written as {@code BALANCERSxROUTERSxREPORTED}.
 *
 * @param balancers balancers in the tier, the measured one included
 * @param routers   routers in the server list
 * @param reported  routers with an outstanding request that each peer message reports a load for
 */
record TierSize(int balancers, int routers, int reported) {

    static TierSize parse(String text) {
        String[] parts = text.split("x");
        return new TierSize(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    }
}
