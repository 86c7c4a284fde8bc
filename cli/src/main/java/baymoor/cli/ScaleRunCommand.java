package baymoor.cli;

import baymoor.scale.plan.BadPlan;
import baymoor.scale.plan.ScalePlan;
import baymoor.scale.plan.ScalePlanReader;
import baymoor.scale.run.ScaleResult;
import baymoor.scale.run.ScaleRun;
import baymoor.scale.run.ScaleTable;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor scale run}. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = {
            "Run a tier of hollow and real balancers on loopback and print what each of them costs, against the budget.",
            "Exit code 1 means that the run doesn't count, as where the machine itself was the limit; 2 that FILE has mistakes."
        })
final class ScaleRunCommand implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The plan: places, balancers, traffic, script.")
    private Path file;

    @Option(names = "--seed", paramLabel = "N", description = "Where all chance comes from (the file's own).")
    private Long seed;

    @Option(
            names = "--balancers",
            paramLabel = "N",
            description = "So many balancers in all; the real ones stay as many, and the origin grows along.")
    private Integer balancers;

    @Option(
            names = "--slowdown",
            paramLabel = "K",
            description =
                    "Let the run's clock go K times slower than the machine's, which then carries more hollow balancers.")
    private Integer slowdown;

    @Option(
            names = "--json",
            paramLabel = "OUT",
            description = "Write all figures here as JSON; - for standard output.")
    private String json;

    @Option(names = "--keep", paramLabel = "DIR", description = "Configurations and logs go here and stay.")
    private Path keep;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ScalePlan plan;
        try {
            plan = ScalePlanReader.read(file);
        } catch (BadPlan e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        if (balancers != null) {
            if (balancers < 1 || balancers > ScalePlanReader.MOST_BALANCERS) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--balancers is not from 1 to " + ScalePlanReader.MOST_BALANCERS);
            }
            plan = plan.withBalancers(balancers);
        }
        if (slowdown != null) {
            if (slowdown < 1 || slowdown > ScalePlanReader.MOST_SLOWDOWN) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--slowdown is not from 1 to " + ScalePlanReader.MOST_SLOWDOWN);
            }
            if (slowdown > 1 && plan.balancers().real() > 0) {
                throw new CommandLine.ParameterException(
                        spec.commandLine(), "--slowdown: real balancers' clocks can't be slowed down");
            }
            plan = plan.withSlowdown(slowdown);
        }
        return play(seed == null ? plan : plan.withSeed(seed));
    }

    private int play(ScalePlan plan) throws IOException, InterruptedException {
        Path folder = keep == null
                ? Files.createTempDirectory("baymoor-scale-")
                : Files.createDirectories(keep).toAbsolutePath();
        Progress progress = new Progress(spec.commandLine().getErr());
        ScaleResult result = ScaleRun.play(
                plan,
                file.getFileName().toString(),
                new ScaleRun.Options(
                        folder,
                        InstallDirectory.root(),
                        InstallDirectory.run(),
                        what -> progress.show(plan.name() + ": " + what)));
        progress.clear();
        print(result);
        if (keep == null) {
            SocketPlay.delete(folder);
        }
        return result.valid() ? 0 : 1;
    }

    private void print(ScaleResult result) throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        String figures = new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(result) + "\n";
        if ("-".equals(json)) {
            out.print(figures);
            out.flush();
        } else {
            out.println(ScaleTable.of(result));
            if (json != null) {
                Files.writeString(Path.of(json), figures);
            }
        }
        result.reasons().forEach(reason -> spec.commandLine().getErr().println("doesn't count: " + reason));
    }
}
