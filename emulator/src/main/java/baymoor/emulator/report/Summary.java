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
 * What a run came to, as a table for people and as JSON for programs.
 *
 * @param kind        {@code virtual} or {@code sockets}
 * @param fingerprint of the event log; empty where there is none
 * @param seconds     that were played, the time before counting included
 * @param broken      how often each rule broke
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

    /** How often rules broke, all rules together. */
    public int brokenCount() {
        return broken.values().stream().mapToInt(Integer::intValue).sum();
    }

    private Map<String, Integer> names() {
        Map<String, Integer> names = new TreeMap<>();
        broken.forEach((rule, count) -> names.put(rule.name().toLowerCase(Locale.ROOT), count));
        return names;
    }

    private static double percent(long part, long whole) {
        return whole == 0 ? 0 : 100.0 * part / whole;
    }

    private static void row(List<String> rows, String name, String form, Object... values) {
        rows.add(String.format(Locale.ROOT, "  %-24s %s", name, String.format(Locale.ROOT, form, values)));
    }

    /** Name and value a line. */
    public String table() {
        Tally t = tally;
        long asked = t.asked();
        List<String> rows = new ArrayList<>();
        rows.add(scenario + " (" + kind + (fingerprint.isEmpty() ? "" : ", seed " + seed) + ")");
        row(rows, "asked", "%,d", asked);
        row(rows, "served in time", "%,d (%.1f%%)", t.inTime(), percent(t.inTime(), asked));
        row(rows, "served late", "%,d (%.1f%%)", t.late(), percent(t.late(), asked));
        row(rows, "refused", "%,d (%.1f%%)", t.refused(), percent(t.refused(), asked));
        row(rows, "failed", "%,d (%.1f%%)", t.failed(), percent(t.failed(), asked));
        row(rows, "without an answer", "%,d, no balancer reached %,d", t.lost(), t.unreached());
        row(rows, "worth in time", "%.1f%%, worst 10 s %.1f%%", 100 * t.inTimeShare(), 100 * t.worstShare());
        row(rows, "latency p50 / p99", "%.0f ms / %.0f ms", t.latency(50) / 1e3, t.latency(99) / 1e3);
        row(rows, "hit share", "%.1f%%", 100 * t.hitShare());
        row(
                rows,
                "origin fetches, writes",
                "%,d, %,d (%,d repeats dropped)",
                t.fetches(),
                t.writes(),
                t.repeatsDropped());
        row(rows, "turned away by hosts", "%,d", t.turnedAwayByHosts());
        row(rows, "answers for nobody", "%,d", t.wastedRuns());
        row(rows, "rules broken", "%s", brokenCount() == 0 ? "none" : brokenCount() + " " + names());
        if (!fingerprint.isEmpty()) {
            row(rows, "played", "%.1f s in %.1f s, %,d events", seconds, wallSeconds, events);
            row(rows, "event log", "sha256 %s", fingerprint);
        }
        return String.join(System.lineSeparator(), rows);
    }

    /** All figures, times in microseconds, and a row for each second. */
    public ObjectNode json() {
        Tally t = tally;
        ObjectNode o = JSON.createObjectNode();
        o.put("scenario", scenario)
                .put("kind", kind)
                .put("seed", seed)
                .put("event_log_sha256", fingerprint)
                .put("seconds", seconds)
                .put("wall_seconds", wallSeconds)
                .put("events", events);
        o.put("asked", t.asked())
                .put("served_in_time", t.inTime())
                .put("served_late", t.late())
                .put("refused", t.refused())
                .put("failed", t.failed())
                .put("unanswered", t.lost())
                .put("unreached", t.unreached())
                .put("left", t.left())
                .put("tries", t.tries());
        o.put("worth_in_time", t.inTimeShare()).put("worst_10s", t.worstShare()).put("hit_share", t.hitShare());
        ObjectNode latency = o.putObject("latency_us");
        for (double p : new double[] {50, 90, 99, 99.9}) {
            latency.put("p" + (p == Math.rint(p) ? Long.toString((long) p) : Double.toString(p)), t.latency(p));
        }
        o.put("origin_fetches", t.fetches())
                .put("origin_writes", t.writes())
                .put("origin_repeats_dropped", t.repeatsDropped())
                .put("hosts_turned_away", t.turnedAwayByHosts())
                .put("answers_for_nobody", t.wastedRuns())
                .put("probes", t.probes());
        ObjectNode rules = o.putObject("rules_broken");
        names().forEach(rules::put);
        ArrayNode seconds = o.putArray("per_second");
        for (Tally.Second s : t.seconds()) {
            seconds.addObject()
                    .put("asked", s.asked)
                    .put("in_time", s.inTime)
                    .put("refused", s.refused)
                    .put("failed", s.failed);
        }
        return o;
    }
}
