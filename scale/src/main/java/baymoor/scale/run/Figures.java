package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/** The figures of the mean hollow balancer, from what the processes came to before and after the time that counts. */
final class Figures {

    /** IPv4 and UDP, for each datagram. */
    static final int DATAGRAM_HEADER_BYTES = 28;
    /** IPv4 and TCP with timestamps, for each segment and its acknowledgement. */
    static final int SEGMENT_HEADER_BYTES = 52;

    private final List<Totals> before;
    private final List<Totals> after;
    private final List<Totals> settled;
    private final double seconds;
    private final int balancers;

    /**
     * @param before  at the begin of the time that counts
     * @param after   at its end
     * @param settled somewhat later, after a collection of garbage
     */
    Figures(List<Totals> before, List<Totals> after, List<Totals> settled) {
        this.before = before;
        this.after = after;
        this.settled = settled;
        balancers = after.stream().mapToInt(Totals::balancers).sum();
        seconds = (sum(after, Totals::atMicros) - sum(before, Totals::atMicros)) / 1e6 / Math.max(1, after.size());
    }

    double seconds() {
        return seconds;
    }

    private static double sum(List<Totals> all, ToLongFunction<Totals> field) {
        return all.stream().mapToLong(field).sum();
    }

    /** How much something grew, over all processes. */
    double grown(ToLongFunction<Totals> field) {
        return sum(after, field) - sum(before, field);
    }

    private double rate(ToLongFunction<Totals> field) {
        return grown(field) / seconds / balancers;
    }

    private double most(ToDoubleFunction<Totals> field) {
        return after.stream().mapToDouble(field).max().orElse(0);
    }

    /**
     * Processor time to the time that decision threads spent on their events: more, as a process does other things too, and less,
     * as a busy machine keeps threads waiting in the midst of an event.
     */
    private double cpuPart() {
        double all = grown(Totals::controlNanos) + grown(Totals::servingNanos) + grown(Totals::toolNanos);
        return all == 0 ? 0 : grown(Totals::processCpuNanos) / all;
    }

    /** The processor time of one kind of work, in seconds a second and balancer. */
    private double cpu(ToLongFunction<Totals> kind) {
        return rate(kind) / 1e9 * cpuPart();
    }

    /** The mean of a percentile over the processes, which have as many balancers each but for the last. */
    double mean(ToDoubleFunction<Totals> field) {
        return after.stream()
                        .mapToDouble(t -> field.applyAsDouble(t) * t.balancers())
                        .sum()
                / balancers;
    }

    boolean hasBalancers() {
        return balancers > 0;
    }

    /** Processor seconds that serving a request costs. */
    double servingPerRequest() {
        double requests = rate(Totals::requests);
        return requests == 0 ? 0 : cpu(Totals::servingNanos) / requests;
    }

    /** Bytes of the mean datagram that hollow balancers send. */
    double meanMessageBytes() {
        return grown(Totals::bytesOut) / Math.max(1, grown(Totals::messagesOut));
    }

    /** Bytes of the mean datagram of a real balancer, as the hollow ones heard it. */
    double meanRealMessageBytes(int real) {
        double bytes = grown(totals -> totals.realBytes().get(real));
        return bytes / Math.max(1, grown(totals -> totals.realMessages().get(real)));
    }

    /** Bytes a second of the headers on the way from discovery, or back. */
    double discoveryHeaderBytes() {
        return hasBalancers() ? rate(Totals::discoveryReads) * SEGMENT_HEADER_BYTES : 0;
    }

    double latenessP99Millis() {
        return most(Totals::latenessP99Millis);
    }

    /** When which balancer came to hold which version of the list. */
    List<Totals.KnownVersion> known() {
        return settled.stream().flatMap(totals -> totals.known().stream()).toList();
    }

    /** The figures of the mean hollow balancer that these totals give. */
    Map<String, Double> hollow() {
        Map<String, Double> figures = new LinkedHashMap<>();
        double discovery = rate(Totals::discoveryBytesIn);
        figures.put("bytesInPerSecond", rate(Totals::bytesIn) + discovery);
        figures.put("bytesOutPerSecond", rate(Totals::bytesOut) + rate(Totals::discoveryBytesOut));
        figures.put(
                "headerBytesInPerSecond", rate(Totals::messagesIn) * DATAGRAM_HEADER_BYTES + discoveryHeaderBytes());
        figures.put(
                "headerBytesOutPerSecond", rate(Totals::messagesOut) * DATAGRAM_HEADER_BYTES + discoveryHeaderBytes());
        figures.put("messagesInPerSecond", rate(Totals::messagesIn));
        figures.put("messagesOutPerSecond", rate(Totals::messagesOut));
        figures.put("discoveryBytesInPerSecond", discovery);
        figures.put("cpuControlSecondsPerSecond", cpu(Totals::controlNanos));
        figures.put("cpuServingSecondsPerSecond", cpu(Totals::servingNanos));
        figures.put("memoryBytes", sum(settled, Totals::heapBytes) / balancers);
        figures.put("tickMicros", grown(Totals::tickNanos) / 1e3 / Math.max(1, grown(Totals::ticks)) * cpuPart());
        figures.put("ageP50Ms", mean(Totals::ageP50Millis));
        figures.put("ageP99Ms", mean(Totals::ageP99Millis));
        return figures;
    }

    /** The most that a router was asked, against the mean of all routers. */
    double loadSpread(int routers) {
        Map<String, Long> asked = new LinkedHashMap<>();
        after.forEach(t -> t.asked().forEach((router, count) -> asked.merge(router, count, Long::sum)));
        before.forEach(t -> t.asked().forEach((router, count) -> asked.merge(router, -count, Long::sum)));
        double all = asked.values().stream().mapToLong(Long::longValue).sum();
        long most = asked.values().stream().mapToLong(Long::longValue).max().orElse(0);
        return all == 0 ? 0 : most / (all / routers);
    }
}
