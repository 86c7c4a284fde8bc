package baymoor.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * {@code baymoor serve}. The launcher script replaces itself by the serving program before any of this is loaded; this
 * class gives the help, and does the same from a child process where the jar was started by hand.
 */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Run one balancer in the foreground until SIGTERM.",
            "The configuration is CONFIG, or else what ROUTER_CONFIG names. ROUTER_LOG=json makes its log JSON lines."
        })
final class Serve implements Callable<Integer> {

    @Parameters(arity = "0..1", paramLabel = "CONFIG", description = "The balancer's JSON configuration.")
    private Path config;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", InstallDirectory.run())
                .directory(InstallDirectory.root().toFile())
                .inheritIO();
        if (config != null) {
            builder.environment().put("ROUTER_CONFIG", config.toAbsolutePath().toString());
        }
        Process process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            process.destroy();
            process.onExit().join();
        }));
        return process.waitFor() == 0 ? 0 : 1;
    }
}
