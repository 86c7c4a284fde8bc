package baymoor.cli;

import baymoor.emulator.judge.Broken;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.virtual.VirtualRun;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Play a scenario in virtual time with the balancer's real state machines, or with each balancer a process.",
            "In virtual time the same file and seed give the same event log, byte for byte. A broken rule means exit code 1, and ends "
                    + "a run in virtual time.",
            "With --processes it takes real time, and the ways between the processes are cut and lossy as the script says."
        })
final class EmulateRun implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "Where all chance comes from (the file's own).")
    private Long seed;

    @Option(names = "--log", paramLabel = "OUT", description = "Write the event log here.")
    private Path log;

    @Option(
            names = "--json",
            paramLabel = "OUT",
            description = "Write all figures here as JSON; - for standard output.")
    private String json;

    @Option(names = "--keep-going", description = "Count broken rules instead of ending the run at the first.")
    private boolean keepGoing;

    @Option(names = "--processes", description = "Each balancer is a process of the built program, on loopback.")
    private boolean processes;

    @Option(
            names = "--keep",
            paramLabel = "DIR",
            description = "With --processes: configurations and logs go here and stay.")
    private Path keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = Scenarios.read(file);
        if (processes) {
            if (log != null || keepGoing) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--log and --keep-going are for virtual time");
            }
            return SocketPlay.report(spec, scenario, seed == null ? scenario.seed() : seed, keep, json);
        }
        if (keep != null) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--keep is for --processes");
        }
        PrintWriter out = spec.commandLine().getOut();
        Progress progress = new Progress(spec.commandLine().getErr());
        long whole = scenario.warmUpMicros() + scenario.durationMicros();
        VirtualRun.Result result;
        try (OutputStream to = log == null ? null : new BufferedOutputStream(Files.newOutputStream(log))) {
            result = VirtualRun.play(
                    scenario,
                    new VirtualRun.Options(
                            seed == null ? scenario.seed() : seed,
                            to,
                            keepGoing,
                            at -> progress.show(String.format(
                                    "%s: %d of %d s", scenario.name(), at / 1_000_000, whole / 1_000_000))));
        }
        progress.clear();
        print(out, result.summary().table(), result.summary().json(), json);
        for (Broken b : result.broken()) {
            spec.commandLine().getErr().println("seed " + result.seed() + ": " + b.text());
        }
        return result.kept() ? 0 : 1;
    }

    /** @param to a file for the figures as JSON, - for standard output in place of the table, or null */
    static void print(PrintWriter out, String table, ObjectNode figures, String to) throws IOException {
        if ("-".equals(to)) {
            out.println(figures);
        } else {
            out.println(table);
            if (to != null) {
                Files.writeString(Path.of(to), figures.toPrettyString() + "\n");
            }
        }
    }
}
