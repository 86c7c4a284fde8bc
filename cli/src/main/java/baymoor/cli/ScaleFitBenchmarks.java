package baymoor.cli;

import baymoor.scale.fit.BadResult;
import baymoor.scale.fit.BenchmarkFit;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor scale fit-benchmarks}. */
@Command(
        name = "fit-benchmarks",
        mixinStandardHelpOptions = true,
        description = "Fit what one event costs the decision module to the size of the tier, from JMH's JSON results.")
final class ScaleFitBenchmarks implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "JSON results of the module 'benchmarks'.")
    private Path file;

    @Option(
            names = "--up-to",
            paramLabel = "BALANCERS",
            description = "Fit only what was measured with so many balancers at most, and predict the rest.")
    private Integer upTo;

    @Option(names = "--json", paramLabel = "OUT", description = "Write the slopes here as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        BenchmarkFit fit;
        try {
            fit = upTo == null ? BenchmarkFit.of(file) : BenchmarkFit.upTo(file, upTo);
        } catch (BadResult e) {
            spec.commandLine().getErr().println(spec.qualifiedName() + ": " + e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        spec.commandLine().getOut().println(fit.table());
        if (json != null) {
            Files.writeString(json, fit.json().toPrettyString() + "\n");
        }
        return CommandLine.ExitCode.OK;
    }
}
