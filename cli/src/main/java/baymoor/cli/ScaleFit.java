package baymoor.cli;

import baymoor.scale.fit.BadResult;
import baymoor.scale.fit.FitReport;
import baymoor.scale.fit.ModelSelection;
import baymoor.scale.fit.Result;
import baymoor.scale.fit.ResultReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor scale fit}. */
@Command(
        name = "fit",
        mixinStandardHelpOptions = true,
        description = {
            "Fit how each figure of the mean hollow balancer grows with the size of the tier, by ordinary least squares.",
            "Takes results of 'scale run --json'; a run that was not valid is refused. With --predict other runs are held "
                    + "against the fit, and exit code 1 means that a prediction is off by more than the bound."
        })
final class ScaleFit implements Callable<Integer> {

    private static final double PERCENT = 100;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "OUT", arity = "1..*", description = "Results that the slopes are fitted to.")
    private List<Path> fitted;

    @Option(
            names = "--predict",
            paramLabel = "OUT",
            arity = "1..*",
            description = "Results that the slopes are not fitted to and have to predict.")
    private List<Path> predicted = List.of();

    @Option(
            names = "--within",
            paramLabel = "PERCENT",
            defaultValue = "20",
            description = "How far a prediction may be off (${DEFAULT-VALUE}).")
    private double within;

    @Option(names = "--json", paramLabel = "OUT", description = "Write slopes and predictions here as JSON.")
    private Path json;

    @Override
    public Integer call() throws IOException {
        PrintWriter out = spec.commandLine().getOut();
        FitReport report;
        try {
            report = report();
        } catch (BadResult e) {
            spec.commandLine().getErr().println(spec.qualifiedName() + ": " + e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
        out.println(report.table());
        if (json != null) {
            Files.writeString(json, report.json().toPrettyString() + "\n");
        }
        return report.withinBound() ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }

    private FitReport report() throws BadResult {
        if (!(within > 0)) {
            throw new BadResult("--within must be above 0");
        }
        List<Result> runs = read(fitted);
        List<Result> others = read(predicted);
        for (Path file : predicted) {
            if (fitted.contains(file)) {
                throw new BadResult(file + ": is fitted to, so it can't be predicted");
            }
        }
        return FitReport.of(ModelSelection.fit(runs), others, within / PERCENT);
    }

    private static List<Result> read(List<Path> files) throws BadResult {
        List<Result> results = new ArrayList<>();
        for (Path file : files) {
            results.add(ResultReader.read(file));
        }
        return results;
    }
}
