package baymoor.cli;

import baymoor.config.Config;
import baymoor.config.ConfigException;
import baymoor.config.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor check}. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Read a balancer's configuration as serve would, and say what it holds or what is wrong with it.")
final class Check implements Callable<Integer> {

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "CONFIG", description = "The JSON file that ROUTER_CONFIG would name.")
    private Path file;

    @Override
    public Integer call() {
        try {
            Settings s = Config.parse(Files.readString(file), Map.of());
            spec.commandLine()
                    .getOut()
                    .printf(
                            "%s: good: balancer %s of %d at %s, %d classes, %d tenants, discovery at %s%n",
                            file,
                            s.name(),
                            s.decisionSettings().balancers(),
                            text(s.listen()),
                            s.decisionSettings().classes().size(),
                            s.decisionSettings().tenants().size(),
                            text(s.discovery()));
            return 0;
        } catch (ConfigException e) {
            throw new Failed(file + ": " + e.getMessage());
        } catch (IOException e) {
            throw new Failed(file + ": can't be read");
        }
    }

    private static String text(java.net.InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
