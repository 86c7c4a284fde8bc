package baymoor.scale.hollow;

import baymoor.scale.loop.Work;
import java.util.List;
import java.util.Map;

/**
 * What the hollow balancers of one process came to since their start, as JSON to the run: sums over its balancers, but for the
 * ages and the lateness, which are since they were last reset.
 *
 * @param atMicros          when this was taken, on the clock of all processes
 * @param controlNanos      of decision threads, by {@link Work}
 * @param processCpuNanos   of the whole process
 * @param heapBytes         in use after a collection, 0 where none was asked for
 * @param asked             requests by router address
 * @param realMessages      heard from each real balancer
 * @param realBytes         heard from each real balancer
 * @param toRealMessages    told to each real balancer
 * @param known             when which balancer came to hold which version of the list
 */
public record Totals(
        long atMicros,
        int balancers,
        long messagesIn,
        long messagesOut,
        long bytesIn,
        long bytesOut,
        long discoveryBytesIn,
        long discoveryBytesOut,
        long discoveryReads,
        long ticks,
        long tickNanos,
        long controlNanos,
        long servingNanos,
        long toolNanos,
        long processCpuNanos,
        long heapBytes,
        long requests,
        long answers,
        long refusals,
        long fetches,
        long failures,
        long unsent,
        double ageP50Millis,
        double ageP99Millis,
        double realAgeP50Millis,
        double realAgeP99Millis,
        double latenessP99Millis,
        Map<String, Long> asked,
        List<Long> realMessages,
        List<Long> realBytes,
        List<Long> toRealMessages,
        List<KnownVersion> known) {

    /**
     * A balancer holds a version of the list from a time on, on the clock of all processes.
     *
     * @param atStart whether it started with that version: it did not run before, or was another process
     */
    public record KnownVersion(int balancer, long version, long atMicros, boolean atStart) {}
}
