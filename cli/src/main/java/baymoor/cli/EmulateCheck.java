package baymoor.cli;

import baymoor.emulator.scenario.BadScenario;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate check}. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Name every mistake in scenario files, with line and column.")
final class EmulateCheck implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Scenario files.")
    private List<Path> files;

    @Override
    public Integer call() {
        int bad = 0;
        for (Path file : files) {
            try {
                Scenario s = ScenarioReader.read(file);
                spec.commandLine()
                        .getOut()
                        .printf(
                                "%s: good: %d balancers, %d routers, %.0f requests a second, %d acts%n",
                                file,
                                s.balancers().count(),
                                s.routerCount(),
                                s.traffic().rate(),
                                s.script().size());
            } catch (BadScenario e) {
                bad++;
                spec.commandLine().getErr().println(e.getMessage());
            }
        }
        return bad == 0 ? 0 : 1;
    }
}
