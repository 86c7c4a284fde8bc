package baymoor.cli;

import baymoor.emulator.calibrate.Calibration;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate calibrate}. */
@Command(
        name = "calibrate",
        mixinStandardHelpOptions = true,
        description = {
            "Hold the virtual router against the same router on loopback: p50, p90 and p99 at 20, 50, 80 and 95%% load.",
            "Exit code 1 if any lies more than 10%% apart."
        })
final class EmulateCalibrate implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "20",
            description = "Length of each run on loopback (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--repeats",
            paramLabel = "N",
            defaultValue = "5",
            description = "Runs for each load; the medians count (${DEFAULT-VALUE}).")
    private int repeats;

    @Option(
            names = "--side-by-side",
            paramLabel = "N",
            defaultValue = "4",
            description = "Runs on loopback at a time (${DEFAULT-VALUE}).")
    private int sideBySide;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Of the first repeat (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", description = "Print JSON instead of a table.")
    private boolean json;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < 1 || repeats < 1 || sideBySide < 1) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--seconds, --repeats and --side-by-side are 1 or more");
        }
        Progress progress = new Progress(spec.commandLine().getErr());
        int all = Calibration.LOADS.length * repeats;
        List<Calibration.Row> rows = Calibration.run(
                seconds,
                repeats,
                seed,
                sideBySide,
                done -> progress.line("calibrating: " + done + " of " + all + " runs"));
        progress.clear();
        spec.commandLine().getOut().println(json ? Calibration.json(rows).toPrettyString() : Calibration.table(rows));
        return rows.stream().allMatch(Calibration.Row::within) ? 0 : 1;
    }
}
