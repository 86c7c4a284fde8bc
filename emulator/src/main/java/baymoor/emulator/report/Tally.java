package baymoor.emulator.report;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What a run came to: counts, latencies as clients see them, and a row for each second. */
public final class Tally {

    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int WORST_WINDOW_SECONDS = 10;

    /** One second: first tries asked in it, by what became of them in the end. */
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

    /** How a client's request ended, all its tries taken together. */
    public enum End {
        IN_TIME,
        LATE,
        REFUSED,
        FAILED,
        LOST,
        UNREACHED,
        LEFT
    }

    /** A client has sent a request, for the first time or again. */
    public void tried() {
        tries++;
    }

    /**
     * A request is over.
     *
     * @param askedAt since the count began; what was asked before it is left out
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

    /** A router had the value. */
    public void hit() {
        hits++;
    }

    /** A router did not have the value. */
    public void missed() {
        misses++;
    }

    /** A router or the origin has refused a request without running it. */
    public void turnedAway() {
        turnedAway++;
    }

    /** A read has reached the origin. */
    public void fetched() {
        fetches++;
    }

    /** The origin has performed a write. */
    public void wrote() {
        writes++;
    }

    /** The origin has recognised a write that it had performed before. */
    public void repeatDropped() {
        repeatsDropped++;
    }

    /** A host has answered a probe. */
    public void probed() {
        probes++;
    }

    /** A host has made an answer whose connection is gone. */
    public void wasted() {
        wastedRuns++;
    }

    /** Requests as sent, repeats included. */
    public long tries() {
        return tries;
    }

    /** Requests of clients, without repeats. */
    public long asked() {
        return asked;
    }

    /** Requests answered within the aim of their class. */
    public long inTime() {
        return inTime;
    }

    /** Requests answered after the aim of their class. */
    public long late() {
        return late;
    }

    /** Requests whose last try got a back-off answer. */
    public long refused() {
        return refused;
    }

    /** Requests whose last try got an error. */
    public long failed() {
        return failed;
    }

    /** Requests whose last try had no answer: the connection broke, or nothing came. */
    public long lost() {
        return lost;
    }

    /** Requests for which no balancer could be reached. */
    public long unreached() {
        return unreached;
    }

    /** Requests whose client went away by itself; no other figure holds them. */
    public long left() {
        return left;
    }

    /** Reads for which a router had the value. */
    public long hits() {
        return hits;
    }

    /** Reads for which a router did not have the value. */
    public long misses() {
        return misses;
    }

    /** Requests that routers and origin refused without running them. */
    public long turnedAwayByHosts() {
        return turnedAway;
    }

    /** Reads that reached the origin. */
    public long fetches() {
        return fetches;
    }

    /** Writes that the origin performed. */
    public long writes() {
        return writes;
    }

    /** Repeated writes that the origin recognised and did not perform again. */
    public long repeatsDropped() {
        return repeatsDropped;
    }

    /** Probes that hosts answered. */
    public long probes() {
        return probes;
    }

    /** Answers that hosts made for nobody: whoever asked had gone. */
    public long wastedRuns() {
        return wastedRuns;
    }

    /** Hits over all reads at routers, 0 without any. */
    public double hitShare() {
        return hits + misses == 0 ? 0 : (double) hits / (hits + misses);
    }

    /** Worth answered within its aim over the worth asked for. */
    public double inTimeShare() {
        return worthAsked == 0 ? 0 : worthInTime / worthAsked;
    }

    /** The same in the worst ten seconds on end. */
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

    /** Microseconds at a percentile of what was served. */
    public long latency(double percentile) {
        return latencies.getTotalCount() == 0 ? 0 : latencies.getValueAtPercentile(percentile);
    }

    /** A row for each second, from the first on. */
    public List<Second> seconds() {
        return List.copyOf(seconds);
    }
}
