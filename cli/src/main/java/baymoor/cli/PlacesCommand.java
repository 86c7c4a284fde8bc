package baymoor.cli;

import baymoor.tier.exchange.Timing;
import baymoor.tier.exchange.TrafficEstimate;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.place.PlacesException;
import baymoor.tier.place.PlacesReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code baymoor places}. */
@Command(
        name = "places",
        mixinStandardHelpOptions = true,
        description = "Check a file of places, and say what groups it makes and what their messages come to.")
final class PlacesCommand implements Callable<Integer> {

    private static final int USUAL_GIFTS = 3;
    private static final double KILO = 1000;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A file of places, such as deploy/places.toml.")
    private Path file;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        Places places;
        try {
            places = PlacesReader.read(file.toString(), Files.readString(file)).places();
        } catch (PlacesException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        } catch (IOException e) {
            spec.commandLine().getErr().println(file + ": can't be read");
            return CommandLine.ExitCode.USAGE;
        }
        out.println(file + ": good: " + places.balancers() + " balancers");
        for (Level level : Level.values()) {
            out.println(groups(places, level));
        }
        for (int leases = 0; leases < Level.COUNT; leases++) {
            out.println(traffic(places, leases));
        }
        return CommandLine.ExitCode.OK;
    }

    private static String groups(Places places, Level level) {
        int most = places.groups(level).stream()
                .map(Group::children)
                .mapToInt(children -> children.size())
                .max()
                .orElseThrow();
        return String.format(
                Locale.ROOT,
                "%-7s %4d, of %d children at the most",
                level.name().toLowerCase(Locale.ROOT),
                places.groups(level).size(),
                most);
    }

    private static String traffic(Places places, int leases) {
        TrafficEstimate.Traffic most = IntStream.range(0, places.balancers())
                .mapToObj(balancer -> TrafficEstimate.traffic(places, balancer, leases, USUAL_GIFTS, Timing.DEFAULT))
                .max(Comparator.comparingDouble(TrafficEstimate.Traffic::bytes))
                .orElseThrow();
        return String.format(
                Locale.ROOT,
                "with %d leases: up to %.0f messages and %.2f KB a second, of %.2f KB",
                leases,
                most.messages(),
                most.bytes() / KILO,
                TrafficEstimate.BUDGET_BYTES_PER_SECOND / KILO);
    }
}
