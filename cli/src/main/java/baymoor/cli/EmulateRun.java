package baymoor.cli;

import baymoor.emulator.judge.Broken;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.virtual.VirtualRun;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate run}. */
@Command(name = "run", mixinStandardHelpOptions = true, description = {
    "Play a scenario in virtual time with the balancer's real state machines.",
    "The same file and seed give the same event log, byte for byte. A broken rule ends the run with exit code 1."})
final class EmulateRun implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "Where all chance comes from (the file's own).")
    private Long seed;

    @Option(names = "--log", paramLabel = "OUT", description = "Write the event log here.")
    private Path log;

    @Option(names = "--json", paramLabel = "OUT", description = "Write all figures here as JSON; - for standard output.")
    private String json;

    @Option(names = "--keep-going", description = "Count broken rules instead of ending the run at the first.")
    private boolean keepGoing;

    @Override
    public Integer call() throws IOException {
        Scenario scenario = Scenarios.read(file);
        PrintWriter out = spec.commandLine().getOut();
        Progress progress = new Progress(spec.commandLine().getErr());
        long whole = scenario.warmUpMicros() + scenario.durationMicros();
        VirtualRun.Result result;
        try (OutputStream to = log == null ? null : new BufferedOutputStream(Files.newOutputStream(log))) {
            result = VirtualRun.play(scenario, new VirtualRun.Options(seed == null ? scenario.seed() : seed, to, keepGoing,
                    at -> progress.show(String.format("%s: %d of %d s", scenario.name(), at / 1_000_000,
                            whole / 1_000_000))));
        }
        progress.clear();
        if ("-".equals(json)) {
            out.println(result.summary().json());
        } else {
            out.println(result.summary().table());
            if (json != null) {
                Files.writeString(Path.of(json), result.summary().json().toPrettyString() + "\n");
            }
        }
        for (Broken b : result.broken()) {
            spec.commandLine().getErr().println("seed " + result.seed() + ": " + b.text());
        }
        return result.kept() ? 0 : 1;
    }
}
