package baymoor.cli;

import baymoor.emulator.virtual.Speed;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate bench}. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = {
            "Measure the emulator itself: virtual seconds for each real one, and what an event costs as the fleet grows.",
            "One run of the smallest warms up, then all sizes run in turn, so that a machine that drifts drifts for all."
        })
final class EmulateBench implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--repeats", paramLabel = "N", defaultValue = "3", description = "Counted runs (${DEFAULT-VALUE}).")
    private int repeats;

    @Option(names = "--json", description = "Print JSON instead of a table.")
    private boolean json;

    @Override
    public Integer call() {
        Progress progress = new Progress(spec.commandLine().getErr());
        List<Speed.Row> rows = new ArrayList<>(Speed.run(repeats, progress::line));
        progress.clear();
        if (json) {
            spec.commandLine().getOut().println(Speed.json(rows).toPrettyString());
            return 0;
        }
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "%-34s %10s %12s %12s %10s%n",
                        "fleet",
                        "x real",
                        "events/s",
                        "ns an event",
                        "to first");
        for (Speed.Row r : rows) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            Locale.ROOT,
                            "%-34s %10.1f %,12.0f %,12.0f %10.2f%n",
                            r.name(),
                            r.times(),
                            r.eventsPerSecond(),
                            r.nanosPerEvent(),
                            r.nanosPerEvent() / rows.get(0).nanosPerEvent());
        }
        return 0;
    }
}
