package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.judge.Rule;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.Dialer;
import baymoor.link.Time;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.Test;

/** Checks balancers whose lists are pushed by an agent next to each of them. */
public class PushedListsTest {

    private static final String SCENARIO = """
            zones = ["a", "b"]
            warm_up = "1s"
            duration = "16s"
            [discovery]
            pushed = true
            notice = "700ms"
            spread = "200ms"
            [rules]
            drain_grace = "250ms"
            [balancers]
            count = 2
            [[routers]]
            kind = "two-core"
            count = 6
            cores = 2
            speed = 1.5
            [keys]
            count = 300
            [traffic]
            rate = "60/s"
            [[script]]
            at = "4s"
            do = "drain-router"
            count = 2
            for = "9s"
            """;

    private static VirtualRun.Result play(String text, FaultInjector faults) throws Exception {
        Scenario scenario = ScenarioReader.parse(text, "pushed");
        return VirtualRun.play(scenario, VirtualRun.Options.seed(3), faults);
    }

    private static List<Rule> broken(VirtualRun.Result result) {
        return result.broken().stream().map(b -> b.rule()).toList();
    }

    /** Drops requests of balancers to their agents. */
    private static FaultInjector dropAgentRequests() {
        return new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer real) {
                return (to, events) -> {
                    return new ForwardingLink(real.dial(to, events)) {
                        @Override
                        public void write(byte[] bytes) {
                            if (!new String(bytes, StandardCharsets.ISO_8859_1).startsWith("GET /v1/servers")) {
                                super.write(bytes);
                            }
                        }
                    };
                };
            }
        };
    }

    @Test
    public void droppedAgentRequestsBreakTheDrainRule() throws Exception {
        assertEquals(List.of(), broken(play(SCENARIO, FaultInjector.NONE)));
        assertEquals(Rule.DRAINED, broken(play(SCENARIO, dropAgentRequests())).get(0));
    }

    @Test
    public void agentCatchesUpAfterADiscoveryOutage() throws Exception {
        String outage = "[[script]]\nat = \"3s\"\ndo = \"discovery-down\"\nfor = \"7s\"\n";
        VirtualRun.Result result = play(SCENARIO + outage, FaultInjector.NONE);
        assertEquals(List.of(), broken(result));
        assertTrue(result.tally().inTime() > result.tally().asked() / 2);
    }

    @Test
    public void agentCatchesUpAfterAZoneCut() throws Exception {
        String zoneCut = "[[script]]\nat = \"3s\"\ndo = \"cut\"\nzone = \"b\"\nfor = \"5s\"\n";
        assertEquals(List.of(), broken(play(SCENARIO + zoneCut, FaultInjector.NONE)));
    }

    @Test
    public void restartedBalancersUseTheListHeldByTheirAgents() throws Exception {
        String restarts = "[[script]]\nat = \"4500ms\"\ndo = \"restart-balancers\"\nwithin = \"3s\"\n"
                + "[[script]]\nat = \"9s\"\ndo = \"kill-balancer\"\ncount = 2\nfor = \"1s\"\n";
        assertEquals(List.of(), broken(play(SCENARIO + restarts, FaultInjector.NONE)));
    }
}
