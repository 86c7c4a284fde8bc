package baymoor.scale.hollow;

import java.util.List;

/**
 * What a process of hollow balancers is told at its start, as JSON.
 *
 * @param folder       where the configuration of balancer n is {@code nN.json}
 * @param numbers      of the balancers in this process
 * @param balancers    of the whole tier
 * @param addresses    at which each balancer of the tier receives, by number, in figures with a port
 * @param slowdown     real seconds to a second of the run
 * @param perLoop      balancers to a decision thread
 * @param zones        zone of each balancer of the tier, by number
 * @param sites        site of each balancer of the tier, by number
 * @param regions      region of each zone
 */
public record Assignment(
        String folder,
        long seed,
        int slowdown,
        List<Integer> numbers,
        int balancers,
        int real,
        List<String> addresses,
        int perLoop,
        List<Integer> zones,
        List<Integer> sites,
        List<Integer> regions,
        Ways ways,
        Drawn drawn) {

    /** Least and most delay one way, in microseconds, by the smallest place that holds both ends; and the share lost. */
    public record Ways(
            List<Long> sameSite, List<Long> sameZone, List<Long> sameRegion, List<Long> betweenRegions, double loss) {}

    /**
     * What is drawn in place of clients and hosts.
     *
     * @param requestsPerSecond at each balancer, by zone
     */
    public record Drawn(
            List<Double> requestsPerSecond,
            int keys,
            double exponent,
            int valueBytes,
            List<Long> routerMicros,
            double miss,
            List<Long> originMicros,
            List<RequestKind> kinds,
            String tenant) {}

    /** A class of requests as clients name it. */
    public record RequestKind(String name, double share, boolean write, long deadlineMicros, long workMicros) {}
}
