package baymoor.emulator.report;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Collects the results of a run: counters, latencies as observed by clients, and counts per second. Not thread-safe.
 */
public final class Tally {

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int WORST_WINDOW_SECONDS = 10;

    /** Requests first sent within one second, by their final outcome. */
    public static final class Second {
        public int asked;
        public int inTime;
        public int refused;
        public int failed;
        public double worthAsked;
        public double worthInTime;
    }

    private final Histogram latencies = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final List<Second> seconds = new ArrayList<>();
    private long tries;
    private long asked;
    private long inTime;
    private long late;
    private long refused;
    private long failed;
    private long lost;
    private long unreached;
    private long left;
    private long hits;
    private long misses;
    private long turnedAway;
    private long fetches;
    private long writes;
    private long repeatsDropped;
    private long probes;
    private long wastedRuns;
    private double worthAsked;
    private double worthInTime;

    private Second secondAt(long micros) {
        int index = (int) Math.max(0, micros / 1_000_000);
        while (seconds.size() <= index) {
            seconds.add(new Second());
        }
        return seconds.get(index);
    }

    /** The final outcome of a client's request after all its tries. */
    public enum End {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        LOST,
        UNREACHED,
        LEFT
    }

    /** Counts a request sent by a client, first tries and retries alike. */
    public void tried() {
        tries++;
    }

    /**
     * Records the final outcome of a request.
     *
     * @param askedAt       microseconds between the start of counting and the first try; requests with a negative value are
     *                      ignored
     * @param latencyMicros latency as observed by the client; recorded only for served requests
     * @param worth         value of an answer in time
     */
    public void ended(long askedAt, End end, long latencyMicros, double worth) {
        if (askedAt < 0) {
            return;
        }
        if (end == End.LEFT) {
            left++;
            return;
        }
        Second second = secondAt(askedAt);
        asked++;
        second.asked++;
        worthAsked += worth;
        second.worthAsked += worth;
        switch (end) {
            case IN_TIME -> {
                inTime++;
                second.inTime++;
                worthInTime += worth;
                second.worthInTime += worth;
            }
            case LATE -> late++;
            case REFUSED -> {
                refused++;
                second.refused++;
            }
            case FAILED -> {
                failed++;
                second.failed++;
            }
            case LOST -> lost++;
            default -> unreached++;
        }
        if (end == End.IN_TIME || end == End.LATE) {
            latencies.recordValue(Math.min(MAX_LATENCY_MICROS, Math.max(0, latencyMicros)));
        }
    }

    /** Counts a cache hit at a router. */
    public void hit() {
        hits++;
    }

    /** Counts a cache miss at a router. */
    public void missed() {
        misses++;
    }

    /** Counts a request that a router or the origin rejected without executing it. */
    public void turnedAway() {
        turnedAway++;
    }

    /** Counts a read at the origin. */
    public void fetched() {
        fetches++;
    }

    /** Counts a write executed by the origin. */
    public void wrote() {
        writes++;
    }

    /** Counts a repeated write that the origin recognised and dropped. */
    public void repeatDropped() {
        repeatsDropped++;
    }

    /** Counts a probe answered by a host. */
    public void probed() {
        probes++;
    }

    /** Counts an answer that a host produced after its connection had closed. */
    public void wasted() {
        wastedRuns++;
    }

    /** Returns the number of requests sent, including retries. */
    public long tries() {
        return tries;
    }

    /** Returns the number of client requests, excluding retries. */
    public long asked() {
        return asked;
    }

    /** Returns the number of requests served within the latency objective of their class. */
    public long inTime() {
        return inTime;
    }

    /** Returns the number of requests served after the latency objective of their class. */
    public long late() {
        return late;
    }

    /** Returns the number of requests whose last try got a back-off answer. */
    public long refused() {
        return refused;
    }

    /** Returns the number of requests whose last try got an error. */
    public long failed() {
        return failed;
    }

    /** Returns the number of requests whose last try got no answer: it timed out or its connection closed. */
    public long lost() {
        return lost;
    }

    /** Returns the number of requests for which no balancer could be reached. */
    public long unreached() {
        return unreached;
    }

    /** Returns the number of requests whose client left early; no other count includes them. */
    public long left() {
        return left;
    }

    /** Returns the number of cache hits at routers. */
    public long hits() {
        return hits;
    }

    /** Returns the number of cache misses at routers. */
    public long misses() {
        return misses;
    }

    /** Returns the number of requests that routers and the origin rejected without executing them. */
    public long turnedAwayByHosts() {
        return turnedAway;
    }

    /** Returns the number of reads at the origin. */
    public long fetches() {
        return fetches;
    }

    /** Returns the number of writes executed by the origin. */
    public long writes() {
        return writes;
    }

    /** Returns the number of repeated writes that the origin recognised and dropped. */
    public long repeatsDropped() {
        return repeatsDropped;
    }

    /** Returns the number of probes answered by hosts. */
    public long probes() {
        return probes;
    }

    /** Returns the number of answers that hosts produced after their connections had closed. */
    public long wastedRuns() {
        return wastedRuns;
    }

    /** Returns the cache hit ratio at routers, 0 to 1; 0 if there were no reads. */
    public double hitShare() {
        return hits + misses == 0 ? 0 : (double) hits / (hits + misses);
    }

    /** Returns the share of the requested worth that was served within its latency objective, 0 to 1. */
    public double inTimeShare() {
        return worthAsked == 0 ? 0 : worthInTime / worthAsked;
    }

    /** Returns the lowest in-time share of worth over any ten consecutive seconds, 0 to 1. */
    public double worstShare() {
        double worst = 1;
        int windowSeconds = Math.min(WORST_WINDOW_SECONDS, seconds.size());
        for (int from = 0; from + windowSeconds <= seconds.size() && windowSeconds > 0; from++) {
            double windowAsked = 0;
            double windowInTime = 0;
            for (Second second : seconds.subList(from, from + windowSeconds)) {
                windowAsked += second.worthAsked;
                windowInTime += second.worthInTime;
            }
            worst = windowAsked == 0 ? worst : Math.min(worst, windowInTime / windowAsked);
        }
        return worst;
    }

    /** Returns the latency of served requests at a percentile (0 to 100), in microseconds; 0 if none was served. */
    public long latency(double percentile) {
        return latencies.getTotalCount() == 0 ? 0 : latencies.getValueAtPercentile(percentile);
    }

    /** Returns the counts of each second, in order, starting with the first. */
    public List<Second> seconds() {
        return List.copyOf(seconds);
    }
}
