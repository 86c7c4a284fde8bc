package baymoor.emulator.report;

import baymoor.emulator.judge.Rule;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The results of a run, formatted as a readable table or as JSON.
 *
 * @param kind        {@code virtual} or {@code sockets}
 * @param fingerprint SHA-256 of the event log; empty if there is no log
 * @param seconds     length of the run in its own time, including the warm-up
 * @param broken      number of violations by rule
 */
public record Summary(
        String scenario,
        String kind,
        long seed,
        String fingerprint,
        double seconds,
        double wallSeconds,
        long events,
        Tally tally,
        Map<Rule, Integer> broken) {

    private static final ObjectMapper JSON = new ObjectMapper();

    public Summary {
        broken = Map.copyOf(broken);
    }

    /** Returns the total number of rule violations. */
    public int brokenCount() {
        return broken.values().stream().mapToInt(Integer::intValue).sum();
    }

    private Map<String, Integer> countsByRuleName() {
        Map<String, Integer> counts = new TreeMap<>();
        broken.forEach((rule, count) -> counts.put(rule.name().toLowerCase(Locale.ROOT), count));
        return counts;
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }

    private static void addRow(List<String> rows, String name, String format, Object... values) {
        rows.add(String.format(Locale.ROOT, "  %-24s %s", name, String.format(Locale.ROOT, format, values)));
    }

    /** Returns a table with one name and value per line. */
    public String table() {
        Tally t = tally;
        long asked = t.asked();
        List<String> rows = new ArrayList<>();
        rows.add(scenario + " (" + kind + (fingerprint.isEmpty() ? "" : ", seed " + seed) + ")");
        addRow(rows, "asked", "%,d", asked);
        addRow(rows, "served in time", "%,d (%.1f%%)", t.inTime(), percent(t.inTime(), asked));
        addRow(rows, "served late", "%,d (%.1f%%)", t.late(), percent(t.late(), asked));
        addRow(rows, "refused", "%,d (%.1f%%)", t.refused(), percent(t.refused(), asked));
        addRow(rows, "failed", "%,d (%.1f%%)", t.failed(), percent(t.failed(), asked));
        addRow(rows, "without an answer", "%,d, no balancer reached %,d", t.lost(), t.unreached());
        addRow(rows, "worth in time", "%.1f%%, worst 10 s %.1f%%", 100 * t.inTimeShare(), 100 * t.worstShare());
        addRow(rows, "latency p50 / p99", "%.0f ms / %.0f ms", t.latency(50) / 1e3, t.latency(99) / 1e3);
        addRow(rows, "hit share", "%.1f%%", 100 * t.hitShare());
        addRow(
                rows,
                "origin fetches, writes",
                "%,d, %,d (%,d repeats dropped)",
                t.fetches(),
                t.writes(),
                t.repeatsDropped());
        addRow(rows, "turned away by hosts", "%,d", t.turnedAwayByHosts());
        addRow(rows, "answers for nobody", "%,d", t.wastedRuns());
        addRow(rows, "rules broken", "%s", brokenCount() == 0 ? "none" : brokenCount() + " " + countsByRuleName());
        if (!fingerprint.isEmpty()) {
            addRow(rows, "played", "%.1f s in %.1f s, %,d events", seconds, wallSeconds, events);
            addRow(rows, "event log", "sha256 %s", fingerprint);
        }
        return String.join(System.lineSeparator(), rows);
    }

    /** Returns all results as JSON, latencies in microseconds, with one entry per second. */
    public ObjectNode json() {
        Tally t = tally;
        ObjectNode root = JSON.createObjectNode();
        root.put("scenario", scenario)
                .put("kind", kind)
                .put("seed", seed)
                .put("event_log_sha256", fingerprint)
                .put("seconds", seconds)
                .put("wall_seconds", wallSeconds)
                .put("events", events);
        root.put("asked", t.asked())
                .put("served_in_time", t.inTime())
                .put("served_late", t.late())
                .put("refused", t.refused())
                .put("failed", t.failed())
                .put("unanswered", t.lost())
                .put("unreached", t.unreached())
                .put("left", t.left())
                .put("tries", t.tries());
        root.put("worth_in_time", t.inTimeShare())
                .put("worst_10s", t.worstShare())
                .put("hit_share", t.hitShare());
        ObjectNode latency = root.putObject("latency_us");
        for (double p : new double[] {50, 90, 99, 99.9}) {
            latency.put("p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)), t.latency(p));
        }
        root.put("origin_fetches", t.fetches())
                .put("origin_writes", t.writes())
                .put("origin_repeats_dropped", t.repeatsDropped())
                .put("hosts_turned_away", t.turnedAwayByHosts())
                .put("answers_for_nobody", t.wastedRuns())
                .put("probes", t.probes());
        ObjectNode rules = root.putObject("rules_broken");
        countsByRuleName().forEach(rules::put);
        ArrayNode seconds = root.putArray("per_second");
        for (Tally.Second second : t.seconds()) {
            seconds.addObject()
                    .put("asked", second.asked)
                    .put("in_time", second.inTime)
                    .put("refused", second.refused)
                    .put("failed", second.failed);
        }
        return root;
    }
}
