package baymoor.emulator.virtual;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** Benchmarks the speed of the emulator in virtual time for fleets of several sizes. */
public final class Speed {

    /**
     * The median results of a fleet size.
     *
     * @param times virtual seconds per real second
     */
    public record Row(String name, double times, double eventsPerSecond, double nanosPerEvent) {}

    private record Size(String name, int balancers, int routers, int rate, int seconds) {
        Scenario scenario() {
            double scale = rate / 170.0;
            String text = """
                    warm_up = "2s"
                    duration = "%ds"
                    [balancers]
                    count = %d
                    sockets = 16384
                    event = "5us"
                    [[routers]]
                    kind = "two-core"
                    count = %d
                    cores = 2
                    speed = 1.5
                    [[routers]]
                    kind = "three-core"
                    count = %d
                    cores = 3
                    speed = 0.95
                    [origin]
                    capacity = "%d/s"
                    slots = %d
                    room = %d
                    [keys]
                    count = %d
                    [traffic]
                    rate = "%d/s"
                    """.formatted(
                            seconds,
                            balancers,
                            routers - routers * 5 / 12,
                            routers * 5 / 12,
                            Math.round(40 * scale),
                            Math.round(6 * scale) + 1,
                            Math.round(60 * scale),
                            Math.round(8000 * Math.max(1, Math.sqrt(scale))),
                            rate);
            return ScenarioReader.own(text, name);
        }
    }

    private static final List<Size> SIZES = List.of(
            new Size("4 balancers, 13 routers, 170/s", 4, 13, 170, 60),
            new Size("4 balancers, 130 routers, 1,700/s", 4, 130, 1_700, 10),
            new Size("4 balancers, 1,300 routers, 17,000/s", 4, 1_300, 17_000, 3),
            new Size("100 balancers, 1,000 routers, 10,000/s", 100, 1_000, 10_000, 2));

    private Speed() {}

    /** Runs each fleet size the given number of times and returns the medians. */
    public static List<Row> run(int repeats, Consumer<String> progress) {
        double[][] times = new double[SIZES.size()][repeats];
        double[][] events = new double[SIZES.size()][repeats];
        for (int i = -1; i < repeats; i++) {
            for (int s = 0; s < (i < 0 ? 1 : SIZES.size()); s++) { // warm-up with the smallest fleet
                progress.accept("run " + (i + 1) + " of " + repeats + ": " + SIZES.get(s).name);
                VirtualRun.Result result =
                        VirtualRun.play(SIZES.get(s).scenario(), new VirtualRun.Options(1, null, true, at -> {}));
                if (i >= 0) {
                    times[s][i] = result.virtual() * 1e3 / result.wallNanos();
                    events[s][i] = result.events() * 1e9 / result.wallNanos();
                }
            }
        }
        List<Row> rows = new ArrayList<>();
        for (int s = 0; s < SIZES.size(); s++) {
            Arrays.sort(times[s]);
            Arrays.sort(events[s]);
            double perSecond = events[s][repeats / 2];
            rows.add(new Row(SIZES.get(s).name, times[s][repeats / 2], perSecond, 1e9 / perSecond));
        }
        return rows;
    }

    /** Returns the rows as a JSON array. */
    public static ArrayNode json(List<Row> rows) {
        ArrayNode all = new ObjectMapper().createArrayNode();
        rows.forEach(result -> all.addObject()
                .put("fleet", result.name)
                .put("virtual_seconds_per_second", result.times)
                .put("events_per_second", result.eventsPerSecond)
                .put("nanos_per_event", result.nanosPerEvent));
        return all;
    }
}
