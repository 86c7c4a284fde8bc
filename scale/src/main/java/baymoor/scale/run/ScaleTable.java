package baymoor.scale.run;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The figures of a scale run as a table against the budget of a balancer's control. */
public final class ScaleTable {

    private static final double BYTES_BUDGET = 7_000;
    private static final double CPU_BUDGET = 0.015;
    private static final double MEMORY_BUDGET = 128e6;
    private static final int PERCENT = 100;

    private ScaleTable() {}

    /** The whole table. */
    public static String of(ScaleResult result) {
        ScaleResult.Size size = result.size();
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%s, seed %d: %d balancers (%d hollow, %d real), %d routers, %d sites, %.0f requests/s, %.1f s%n",
                result.file(),
                result.seed(),
                size.balancers(),
                size.hollow(),
                size.real(),
                size.routers(),
                size.sites(),
                size.requestsPerSecond(),
                size.seconds()));
        text.append(String.format(Locale.ROOT, "  %-34s %12s %12s %12s%n", "a balancer", "hollow", "real", "budget"));
        Map<String, Double> real = mean(result);
        row(text, "control, bytes/s with headers", bytes(result.hollow()), bytes(real), BYTES_BUDGET);
        row(text, "control, % of a core", cpu(result.hollow()), cpu(real), CPU_BUDGET * PERCENT);
        row(text, "memory, MB", megabytes(result.hollow()), megabytes(real), MEMORY_BUDGET / 1e6);
        Set<String> names = new LinkedHashSet<>(result.hollow().keySet());
        names.addAll(real.keySet());
        for (String figure : names) {
            row(text, figure, result.hollow().get(figure), real.get(figure), null);
        }
        result.changes()
                .forEach(change -> text.append(String.format(
                        Locale.ROOT,
                        "  change at %5.1f s: known by 50%% after %.0f ms, 99%% %.0f ms, all %.0f ms%n",
                        change.get("atSeconds"),
                        change.get("known50Ms"),
                        change.get("known99Ms"),
                        change.get("known100Ms"))));
        result.recoveries()
                .forEach(recovery -> text.append(String.format(
                        Locale.ROOT,
                        "  %s, over at %.1f s: all have heard all again %.0f ms later%n",
                        recovery.fault(),
                        recovery.atSeconds(),
                        recovery.recoveredMs())));
        return text.append(String.format(
                        Locale.ROOT,
                        "  machine: %d cores, late by %.1f ms (p99), %d datagrams dropped; the run %s",
                        result.machine().cores(),
                        result.machine().latenessP99Ms(),
                        result.machine().udpDrops(),
                        result.valid() ? "counts" : "does not count"))
                .toString();
    }

    private static Map<String, Double> mean(ScaleResult result) {
        Map<String, Double> mean = new LinkedHashMap<>();
        result.real()
                .forEach(one -> one.forEach((figure, value) ->
                        mean.merge(figure, value / result.real().size(), Double::sum)));
        return mean;
    }

    private static Double bytes(Map<String, Double> figures) {
        return figures.isEmpty()
                ? null
                : figures.get("bytesInPerSecond")
                        + figures.get("bytesOutPerSecond")
                        + figures.get("headerBytesInPerSecond")
                        + figures.get("headerBytesOutPerSecond");
    }

    private static Double cpu(Map<String, Double> figures) {
        Double cpu = figures.get("cpuControlSecondsPerSecond");
        return cpu == null ? null : cpu * PERCENT;
    }

    private static Double megabytes(Map<String, Double> figures) {
        Double bytes = figures.get("memoryBytes");
        return bytes == null ? null : bytes / 1e6;
    }

    private static void row(StringBuilder text, String name, Double hollow, Double real, Double budget) {
        text.append(String.format(
                Locale.ROOT, "  %-34s %12s %12s %12s%n", name, number(hollow), number(real), number(budget)));
    }

    private static String number(Double value) {
        return value == null ? "" : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.4f" : "%,.0f", value);
    }
}
