package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.Test;

/** Checks that the example scenarios break no rule and that a run is determined by its seed. */
public class ReplayTest {

    static final List<String> EXAMPLES = List.of(
            "january-surge",
            "data-centre-cut",
            "slow-store",
            "rolling-restart",
            "cold-router",
            "scan",
            "bad-routers",
            "mass-kill",
            "zone-back-cold",
            "replaced-routers",
            "planning-day",
            "planning-troubles",
            "many-before-cold");

    private static Scenario example(String name) throws Exception {
        return ScenarioReader.read(Path.of("examples/scenarios/" + name + ".toml"));
    }

    @Test
    public void examplesBreakNoRuleAndReplayIdentically() throws Exception {
        Map<String, String> failures = new ConcurrentHashMap<>();
        EXAMPLES.parallelStream().forEach(name -> {
            try {
                Scenario scenario = example(name);
                VirtualRun.Result first = VirtualRun.play(scenario, VirtualRun.Options.seed(scenario.seed()));
                VirtualRun.Result second = VirtualRun.play(scenario, VirtualRun.Options.seed(scenario.seed()));
                if (!first.kept()) {
                    failures.put(name, first.broken().get(0).text());
                } else if (!first.fingerprint().equals(second.fingerprint())) {
                    failures.put(name, "two event logs for one seed");
                } else if (first.tally().inTime() < first.tally().asked() / 2) {
                    failures.put(
                            name,
                            "only " + first.tally().inTime() + " of "
                                    + first.tally().asked() + " in time");
                }
            } catch (Exception e) {
                failures.put(name, e.toString());
            }
        });
        assertEquals(Map.of(), failures);
    }

    private static String eventLog(String text, long seed) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VirtualRun.play(ScenarioReader.parse(text, "replay"), new VirtualRun.Options(seed, out, true, at -> {}));
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void eventLogDependsOnTheSeedOnly() throws Exception {
        String text = "warm_up = \"0s\"\nduration = \"2s\"";
        assertEquals(eventLog(text, 1), eventLog(text, 1));
        assertNotEquals(eventLog(text, 1), eventLog(text, 2));
    }

    @Test
    public void addingARouterDoesNotChangeClientArrivals() throws Exception {
        String[] kinds = {
            "[[routers]]\nkind = \"two-core\"\ncount = 6\n", "[[routers]]\nkind = \"two-core\"\ncount = 7\n"
        };
        List<List<String>> connects = Arrays.stream(kinds)
                .map(kind -> {
                    try {
                        return eventLog(
                                        "warm_up = \"0s\"\nduration = \"1s\"\n[traffic]\nrate = \"40/s\"\nretry = \"0%\"\n"
                                                + kind,
                                        1)
                                .lines()
                                .filter(l -> l.contains(" connect clients-"))
                                .limit(5)
                                .map(l -> l.substring(0, l.indexOf(" n")))
                                .toList();
                    } catch (Exception e) {
                        throw new AssertionError(e);
                    }
                })
                .toList();
        assertTrue(connects.get(0).size() == 5);
        assertEquals(connects.get(0), connects.get(1));
    }

    @Test
    public void requestsToAHostThatReturnedDuringABalancerRestartAreAllowed() throws Exception {
        // All balancers are down when the list shows the drained routers again.
        StringBuilder text = new StringBuilder(
                "warm_up = \"0s\"\nduration = \"9s\"\n[traffic]\nrate = \"60/s\"\n"
                        + "[[script]]\nat = \"4s\"\ndo = \"restart-balancers\"\nshare = \"100%\"\nwithin = \"1ms\"\nat_once = \"100%\"\n");
        for (int i = 0; i < 3; i++) {
            text.append("[[script]]\nat = \"1s\"\ndo = \"drain-router\"\nfor = \"")
                    .append(3 + i)
                    .append("s\"\n");
        }
        VirtualRun.Result result =
                VirtualRun.play(ScenarioReader.parse(text.toString(), "back"), VirtualRun.Options.seed(1));
        assertEquals(List.of(), result.broken().stream().map(b -> b.text()).toList());
    }
}
