package baymoor.cli;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.sockets.SocketRun;
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

    private SocketPlay() { }

    static SocketRun.Result play(CommandLine.Model.CommandSpec spec, Scenario scenario, long seed, Path folder)
            throws IOException, InterruptedException {
        Progress progress = new Progress(spec.commandLine().getErr());
        double[] shown = {-STEP_SECONDS};
        String[] phase = {""};
        SocketRun.Result result = SocketRun.play(scenario, new SocketRun.Options(seed, folder, Home.root(), Home.run(),
                p -> {
                    boolean step = p.seconds() - shown[0] >= (progress.terminal() ? STEP_SECONDS / 4 : 3 * STEP_SECONDS);
                    if (step || !phase[0].equals(p.phase())) {
                        shown[0] = p.seconds();
                        phase[0] = p.phase();
                        progress.line(String.format(Locale.ROOT, "%s: %s %.0f of %.0f s, %d asked, %d in time, %d rules broken",
                                scenario.name(), p.phase(), p.seconds(), p.of(), p.asked(), p.inTime(), p.broken()));
                    }
                }));
        progress.clear();
        return result;
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
