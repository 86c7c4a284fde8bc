package baymoor.cli;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.sockets.StandIns;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor emulate serve}. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Run a scenario's routers, origin and discovery on loopback, and write a ready configuration for each balancer.",
            "Start balancers on these with: baymoor serve DIR/n0.json"
        })
final class EmulateServe implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The scenario.")
    private Path file;

    @Option(names = "--dir", paramLabel = "DIR", required = true, description = "Where the configurations go.")
    private Path folder;

    @Option(names = "--seed", paramLabel = "N", description = "Where all chance comes from (the file's own).")
    private Long seed;

    @Option(
            names = "--for",
            paramLabel = "SECONDS",
            defaultValue = "600",
            description = "How long at the most; Ctrl-C ends it sooner (${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--load",
            description = "Ask as the scenario's clients do, and play its script, once all balancers answer.")
    private boolean load;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Scenario scenario = Scenarios.read(file);
        Files.createDirectories(folder);
        try (StandIns standIns = StandIns.start(scenario, seed == null ? scenario.seed() : seed, folder, load)) {
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%d routers, an origin and discovery on loopback; configurations:%n",
                            scenario.routerCount());
            standIns.configurations().forEach(c -> spec.commandLine().getOut().println("  " + c));
            spec.commandLine().getOut().flush();
            if (load) {
                standIns.await(seconds);
                spec.commandLine().getOut().println(standIns.summary().table());
                return standIns.summary().brokenCount() == 0 ? 0 : 1;
            }
            Thread.sleep(seconds * 1000L);
            return 0;
        }
    }
}
