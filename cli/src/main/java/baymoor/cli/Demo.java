package baymoor.cli;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code baymoor demo}. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "See it work: two real balancers as processes, between stand-ins of routers, origin, discovery and clients.",
            "Everything stays on loopback and ends by itself. Exit code 1 if a rule broke."
        })
final class Demo implements Callable<Integer> {

    private static final int LEAST = 5;
    private static final int MOST = 600;

    @Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "15",
            description = "How long requests are counted (${DEFAULT-VALUE}; 5 to 600).")
    private int seconds;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Of the traffic (${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", description = "Print all figures as JSON instead of a table.")
    private boolean json;

    /** How balancers come by their lists, which is what the sites differ in most. */
    enum Site {
        ASKED,
        PUSHED
    }

    @Option(
            names = "--site",
            paramLabel = "KIND",
            defaultValue = "asked",
            description =
                    "asked: lists are asked of discovery; pushed: an agent beside each balancer has them, and aims and "
                            + "graces are short (${DEFAULT-VALUE}).")
    private Site site;

    /** What stands in the demo's scenario for a site whose lists are pushed. */
    private static final String PUSHED = """

            [discovery]
            pushed = true
            notice = "700ms"
            spread = "200ms"

            [rules]
            connect = "100ms"
            drain_grace = "250ms"
            tip = "1s"

            [told]
            work = false
            sizes = false
            retries = false
            by_work = false
            """;

    @Override
    public Integer call() throws IOException, InterruptedException {
        if (seconds < LEAST || seconds > MOST) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds is not from 5 to 600");
        }
        return SocketPlay.report(spec, scenario(), seed, null, json ? "-" : null);
    }

    /** The story of the demo, stretched over the time there is. */
    private Scenario scenario() throws IOException {
        String acts = """

                [[script]]
                at = "%dms"
                do = "restart-router"
                for = "500ms"

                [[script]]
                at = "%dms"
                do = "drain-router"
                for = "%dms"

                [[script]]
                at = "%dms"
                do = "restart-balancers"
                share = "50%%"
                within = "1ms"
                at_once = "50%%"
                """.formatted(seconds * 200, seconds * 400, seconds * 200, seconds * 600);
        try (InputStream in = Demo.class.getResourceAsStream("demo.toml")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .replace("duration = \"15s\"", "duration = \"" + seconds + "s\"");
            return ScenarioReader.own(text + (site == Site.PUSHED ? PUSHED : "") + acts, "demo.toml");
        }
    }
}
