package baymoor.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Spec;

/** {@code baymoor version}. */
@Command(name = "version", mixinStandardHelpOptions = true, description = "Print the version.")
final class Version implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        for (String line : new Versions().getVersion()) {
            spec.commandLine().getOut().println(line);
        }
        return 0;
    }
}
