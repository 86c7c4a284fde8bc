package baymoor.cli;

import baymoor.emulator.fabric.Fabric;
import baymoor.emulator.judge.Broken;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.sockets.SocketRun;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.stream.Stream;
import picocli.CommandLine;

/** Plays a scenario on loopback and shows how far it has come. */
final class SocketPlay {

    private static final double STEP_SECONDS = 1;

    private SocketPlay() {}

    static SocketRun.Result play(CommandLine.Model.CommandSpec spec, Scenario scenario, long seed, Path folder)
            throws IOException, InterruptedException {
        Progress progress = new Progress(spec.commandLine().getErr());
        double[] shown = {-STEP_SECONDS};
        String[] phase = {""};
        SocketRun.Result result = SocketRun.play(
                scenario, new SocketRun.Options(seed, folder, InstallDirectory.root(), InstallDirectory.run(), p -> {
                    boolean step =
                            p.seconds() - shown[0] >= (progress.terminal() ? STEP_SECONDS / 4 : 3 * STEP_SECONDS);
                    if (step || !phase[0].equals(p.phase())) {
                        shown[0] = p.seconds();
                        phase[0] = p.phase();
                        progress.line(String.format(
                                Locale.ROOT,
                                "%s: %s %.0f of %.0f s, %d asked, %d in time, %d rules broken",
                                scenario.name(),
                                p.phase(),
                                p.seconds(),
                                p.of(),
                                p.asked(),
                                p.inTime(),
                                p.broken()));
                    }
                }));
        progress.clear();
        return result;
    }

    /**
     * Plays it and prints what came of it; the exit code.
     *
     * @param keep for configurations and logs; null for a folder that goes where no rule broke
     * @param json as {@link EmulateRun#print} takes it
     */
    static int report(CommandLine.Model.CommandSpec spec, Scenario scenario, long seed, Path keep, String json)
            throws IOException, InterruptedException {
        Path folder = keep == null
                ? Files.createTempDirectory("baymoor-" + scenario.name())
                : Files.createDirectories(keep).toAbsolutePath();
        SocketRun.Result result = play(spec, scenario, seed, folder);
        Fabric.Counts faults = result.faults();
        ObjectNode figures = result.summary().json();
        figures.putPOJO("faults", faults);
        String table = result.summary().table()
                + String.format(
                        Locale.ROOT,
                        "%n  %-24s %,d, %,d lost, %,d cut, %,d doubled%n  %-24s %,d bytes, %,d connections reset",
                        "datagrams",
                        faults.datagrams(),
                        faults.datagramsLost(),
                        faults.datagramsCut(),
                        faults.datagramsDoubled(),
                        "held at cuts",
                        faults.bytesHeld(),
                        faults.resets());
        EmulateRun.print(spec.commandLine().getOut(), table, figures, json);
        for (Broken b : result.broken()) {
            spec.commandLine().getErr().println(b.text());
        }
        if (keep == null && result.broken().isEmpty()) {
            delete(folder);
        } else {
            spec.commandLine().getErr().println("configurations and logs are in " + folder);
        }
        return result.broken().isEmpty() ? 0 : 1;
    }

    /** Removes a folder of our own making. */
    static void delete(Path folder) {
        try (Stream<Path> all = Files.walk(folder)) {
            all.sorted(Comparator.reverseOrder()).forEach(p -> {
                try {
                    Files.delete(p);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
        } catch (IOException | UncheckedIOException e) {
            // What stays of it in the folder for temporary files harms nobody.
        }
    }
}
