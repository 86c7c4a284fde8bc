package baymoor.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate}. */
@Command(
        name = "emulate",
        mixinStandardHelpOptions = true,
        description = "Rehearse a scenario: in virtual time, or as stand-ins on loopback.",
        subcommands = {
            EmulateRun.class,
            EmulateCheck.class,
            EmulateServe.class,
            EmulateCalibrate.class,
            EmulateBench.class
        })
final class Emulate implements Runnable {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a sub-command is missing");
    }
}
