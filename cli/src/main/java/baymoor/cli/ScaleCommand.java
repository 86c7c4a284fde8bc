package baymoor.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;

/** {@code baymoor scale}. */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Run a whole tier on this machine and measure what each balancer costs.",
        subcommands = {ScaleRunCommand.class, ScaleFit.class, ScaleFitBenchmarks.class})
final class ScaleCommand implements Runnable {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
    }
}
