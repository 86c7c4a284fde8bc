package baymoor.emulator.calibrate;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.emulator.sockets.SocketRouter;
import baymoor.emulator.virtual.VirtualRouter;
import baymoor.emulator.world.RouterLoad;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;

/**
 * Compares the latencies of the router in virtual time with those of the router on loopback, at several utilizations.
 * Results are medians over repeats with different seeds. Both runs of a repeat have the same arrivals and service
 * times, so differences come from the platform.
 */
public final class Calibration {

    public static final double[] LOADS = {0.2, 0.5, 0.8, 0.95};
    public static final double[] PERCENTILES = {50, 90, 99};
    /** Largest accepted relative difference. */
    public static final double BOUND = 0.10;

    private static final String ROUTER = """
            zones = ["a"]
            warm_up = "0s"
            duration = "%ds"
            [net]
            client = "40us"
            jitter = 0
            [[routers]]
            kind = "two-core"
            cores = 2
            speed = 1.5
            speed_spread = "0%%"
            slots = 8
            room = 400
            errors = "0%%"
            pause = "0ms"
            handshake = "0ms"
            [[classes]]
            name = "map-read"
            work = ["20ms", "60ms"]
            aim = "5s"
            give_up = "60s"
            [keys]
            size = "1KiB"
            """;

    /** One latency percentile at one load: medians over the repeats, in microseconds. */
    public record Row(double load, double percentile, double virtual, double sockets) {
        /** Returns the relative difference of virtual time from loopback. */
        public double apart() {
            return virtual / sockets - 1;
        }

        /** Returns whether the absolute relative difference is within {@link #BOUND}. */
        public boolean within() {
            return Math.abs(apart()) <= BOUND;
        }
    }

    private Calibration() {}

    private record Pair(double load, RouterLoad virtual, RouterLoad sockets) {}

    /**
     * Runs the comparison.
     *
     * @param seconds     length of each run
     * @param seed        seed of the first repeat; each further one adds 1
     * @param parallelism number of runs at the same time
     * @param progress    receives the number of completed repeats
     * @throws IOException if a run fails
     */
    public static List<Row> run(int seconds, int repeats, long seed, int parallelism, IntConsumer progress)
            throws IOException, InterruptedException {
        Scenario scenario = ScenarioReader.own(ROUTER.formatted(seconds), "calibration");
        ExecutorService pool = Executors.newFixedThreadPool(parallelism);
        try {
            List<Callable<Pair>> runs = new ArrayList<>();
            int[] finished = {0};
            for (double load : LOADS) {
                for (int i = 0; i < repeats; i++) {
                    long runSeed = seed + i;
                    runs.add(() -> {
                        RouterLoad virtual = VirtualRouter.play(scenario, runSeed, load);
                        RouterLoad sockets = SocketRouter.play(scenario, runSeed, load);
                        synchronized (finished) {
                            progress.accept(++finished[0]);
                        }
                        return new Pair(load, virtual, sockets);
                    });
                }
            }
            List<Pair> pairs = new ArrayList<>();
            for (Future<Pair> future : pool.invokeAll(runs)) {
                pairs.add(future.get());
            }
            return rows(pairs);
        } catch (ExecutionException e) {
            throw new IOException("calibration run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdown();
        }
    }

    private static List<Row> rows(List<Pair> pairs) {
        List<Row> rows = new ArrayList<>();
        for (double load : LOADS) {
            List<Pair> pairsAtLoad = pairs.stream().filter(p -> p.load == load).toList();
            for (double percentile : PERCENTILES) {
                rows.add(new Row(
                        load,
                        percentile,
                        median(pairsAtLoad.stream()
                                .mapToDouble(p -> p.virtual.latencies().getValueAtPercentile(percentile))
                                .toArray()),
                        median(pairsAtLoad.stream()
                                .mapToDouble(p -> p.sockets.latencies().getValueAtPercentile(percentile))
                                .toArray())));
            }
        }
        return rows;
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        int middle = values.length / 2;
        return values.length % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    }

    /** Returns the rows as a readable table. */
    public static String table(List<Row> rows) {
        StringBuilder table = new StringBuilder(
                String.format(Locale.ROOT, "%-6s %-5s %12s %12s %8s%n", "load", "p", "virtual", "loopback", "apart"));
        for (Row r : rows) {
            table.append(String.format(
                    Locale.ROOT,
                    "%-6s p%-4.0f %9.2f ms %9.2f ms %+7.1f%%%s%n",
                    Math.round(r.load * 100) + "%",
                    r.percentile,
                    r.virtual / 1e3,
                    r.sockets / 1e3,
                    100 * r.apart(),
                    r.within() ? "" : "  over 10%"));
        }
        return table.toString().stripTrailing();
    }

    /** Returns the rows as a JSON array. */
    public static ArrayNode json(List<Row> rows) {
        ArrayNode array = new ObjectMapper().createArrayNode();
        for (Row r : rows) {
            ObjectNode node = array.addObject();
            node.put("load", r.load)
                    .put("percentile", r.percentile)
                    .put("virtual_us", r.virtual)
                    .put("loopback_us", r.sockets)
                    .put("apart", r.apart())
                    .put("within", r.within());
        }
        return array;
    }
}
