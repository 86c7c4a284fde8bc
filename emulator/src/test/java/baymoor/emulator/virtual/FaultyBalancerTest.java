package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.judge.Broken;
import baymoor.emulator.judge.Rule;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiFunction;
import org.junit.Test;

/** Checks that the judge detects each injected fault of a balancer with the expected rule. */
public class FaultyBalancerTest {

    private static final String SMALL_SCENARIO = """
            zones = ["a"]
            warm_up = "1s"
            duration = "12s"
            [balancers]
            count = 2
            [[routers]]
            kind = "two-core"
            count = 4
            cores = 2
            speed = 1.5
            pause = "0ms"
            [keys]
            count = 300
            [origin]
            capacity = "30/s"
            errors = "0%"
            [traffic]
            rate = "40/s"
            impatient = "0%"
            """;

    private static final String SCENARIO_WITH_WRITES = SMALL_SCENARIO + """
            [[classes]]
            name = "map-read"
            share = "60%"
            aim = "800ms"
            give_up = "1500ms"
            [[classes]]
            name = "search-order"
            share = "20%"
            effect = "unsafe"
            aim = "750ms"
            give_up = "1500ms"
            [[classes]]
            name = "parcel-watch"
            share = "20%"
            effect = "keyed"
            window = "1s"
            aim = "1200ms"
            give_up = "5s"
            """;

    private static Rule firstBrokenRule(String text, FaultInjector faults) throws Exception {
        Scenario scenario = ScenarioReader.parse(text, "faulty");
        VirtualRun.Result result = VirtualRun.play(scenario, VirtualRun.Options.seed(1), faults);
        assertFalse("nothing was caught", result.broken().isEmpty());
        assertTrue(
                "the run went on", result.virtual() < scenario.warmUpMicros() + scenario.durationMicros() + 10_000_000);
        Broken first = result.broken().get(0);
        return first.rule();
    }

    /** Passes answers to clients through a function; null drops the answer. */
    private static FaultInjector rewriteAnswers(BiFunction<Link, byte[], byte[]> change) {
        return new FaultInjector() {
            @Override
            public Link wrapClientLink(Time time, Link real) {
                return new ForwardingLink(real) {
                    @Override
                    public void write(byte[] bytes) {
                        byte[] replacement = change.apply(real, bytes);
                        if (replacement != null) {
                            real.write(replacement);
                        }
                    }
                };
            }
        };
    }

    private static boolean served(byte[] answer) {
        return answer[0] == '$';
    }

    /** Sends a command once more after the original. */
    private interface Resend {
        void send(Time time, Dialer real, InetSocketAddress to, byte[] command);
    }

    private static FaultInjector resendMatching(String with, Resend resend) {
        return new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer dialer) {
                return (to, events) -> new ForwardingLink(dialer.dial(to, events)) {
                    @Override
                    public void write(byte[] bytes) {
                        real.write(bytes);
                        if (new String(bytes, StandardCharsets.ISO_8859_1).contains(with)) {
                            resend.send(time, dialer, to, bytes);
                        }
                    }
                };
            }
        };
    }

    /** Sends bytes on a new connection. */
    private static void sendOnNewConnection(Dialer dialer, InetSocketAddress to, byte[] bytes) {
        Link[] link = new Link[1];
        link[0] = dialer.dial(to, new LinkEvents() {
            @Override
            public void opened() {
                link[0].write(bytes);
            }

            @Override
            public void received(byte[] answer) {}

            @Override
            public void written() {}

            @Override
            public void closed() {}
        });
    }

    @Test
    public void unmodifiedBalancerBreaksNoRule() throws Exception {
        for (String scenario : new String[] {SMALL_SCENARIO, SCENARIO_WITH_WRITES}) {
            VirtualRun.Result result =
                    VirtualRun.play(ScenarioReader.parse(scenario, "good"), VirtualRun.Options.seed(1));
            assertEquals(result.broken().toString(), 0, result.broken().size());
            assertTrue(result.tally().inTime() > 300);
        }
    }

    @Test
    public void duplicateAnswerIsDetected() throws Exception {
        assertEquals(Rule.ONE_ANSWER, firstBrokenRule(SMALL_SCENARIO, rewriteAnswers((link, bytes) -> {
            link.write(bytes);
            return bytes;
        })));
    }

    @Test
    public void closeInsteadOfAnswerIsDetected() throws Exception {
        assertEquals(Rule.ONE_ANSWER, firstBrokenRule(SMALL_SCENARIO, rewriteAnswers((link, bytes) -> {
            link.close();
            return null;
        })));
    }

    @Test
    public void missingAnswerIsDetected() throws Exception {
        assertEquals(Rule.IN_TIME, firstBrokenRule(SMALL_SCENARIO, rewriteAnswers((link, bytes) -> null)));
    }

    @Test
    public void corruptedValueIsDetected() throws Exception {
        assertEquals(Rule.TRUE_VALUE, firstBrokenRule(SMALL_SCENARIO, rewriteAnswers((link, bytes) -> {
            byte[] changed = bytes.clone();
            changed[changed.length - 3] ^= served(bytes) ? 1 : 0;
            return changed;
        })));
    }

    @Test
    public void refusalOfExecutedUnsafeRequestIsDetected() throws Exception {
        assertEquals(
                Rule.HARMLESS_REFUSAL,
                firstBrokenRule(
                        SCENARIO_WITH_WRITES,
                        rewriteAnswers((link, bytes) ->
                                served(bytes) ? "-BUSY\r\n".getBytes(StandardCharsets.US_ASCII) : bytes)));
    }

    @Test
    public void concurrentDuplicateAttemptIsDetected() throws Exception {
        assertEquals(
                Rule.ONE_RELAY_AT_A_TIME,
                firstBrokenRule(
                        SMALL_SCENARIO,
                        resendMatching(
                                "OBJ.GET", (time, dialer, to, bytes) -> sendOnNewConnection(dialer, to, bytes))));
    }

    @Test
    public void resentUnsafeRequestIsDetected() throws Exception {
        assertEquals(
                Rule.UNSAFE_ONCE,
                firstBrokenRule(
                        SCENARIO_WITH_WRITES,
                        resendMatching(
                                "c=search-order",
                                (time, dialer, to, bytes) ->
                                        time.schedule(1_200_000, () -> sendOnNewConnection(dialer, to, bytes)))));
    }

    @Test
    public void keyedWriteResentAfterItsWindowIsDetected() throws Exception {
        assertEquals(
                Rule.KEYED_ONCE,
                firstBrokenRule(
                        SCENARIO_WITH_WRITES,
                        resendMatching(
                                "c=parcel-watch",
                                (time, dialer, to, bytes) ->
                                        time.schedule(2_500_000, () -> sendOnNewConnection(dialer, to, bytes)))));
    }

    /** Replaces a pattern in the answers of discovery. */
    private static FaultInjector rewriteDiscovery(String pattern, String replacement) {
        return new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer real) {
                return (to, events) -> real.dial(to, new LinkEvents() {
                    @Override
                    public void opened() {
                        events.opened();
                    }

                    @Override
                    public void received(byte[] bytes) {
                        String text = new String(bytes, StandardCharsets.ISO_8859_1);
                        // The replacement has the same length, as the chunk header states it.
                        events.received(
                                text.contains("endpoints")
                                        ? text.replaceAll(pattern, replacement).getBytes(StandardCharsets.ISO_8859_1)
                                        : bytes);
                    }

                    @Override
                    public void written() {
                        events.written();
                    }

                    @Override
                    public void closed() {
                        events.closed();
                    }
                });
            }
        };
    }

    @Test
    public void ignoredDrainIsDetected() throws Exception {
        String drainScenario = SMALL_SCENARIO + """
                [discovery]
                notice = "100ms"
                [[script]]
                at = "2s"
                do = "drain-router"
                for = "8s"
                """;
        assertEquals(
                Rule.DRAINED,
                firstBrokenRule(
                        drainScenario, rewriteDiscovery("\"status\":\"terminating\"", "\"status\":\"in_service\" ")));
    }

    private static final String COLD_ROUTER_SCENARIO =
            SMALL_SCENARIO.replace("rate = \"40/s\"", "rate = \"90/s\"") + """
            [rules]
            tip_multiple = 1.2
            tip = "1s"
            [discovery]
            add = "100ms"
            notice = "100ms"
            spread = "30ms"
            [[script]]
            at = "2s"
            do = "restart-router"
            count = 2
            for = "300ms"
            """;

    @Test
    public void overloadedColdRouterIsDetected() throws Exception {
        assertEquals(
                Rule.COLD_ROUTER,
                firstBrokenRule(
                        COLD_ROUTER_SCENARIO.replace(
                                "pause = \"0ms\"",
                                "pause = \"0ms\"\ncold_share = \"2%\"\n" + "cold = \"23s\"\nmiss = \"60ms\""),
                        rewriteDiscovery("\"since_ms\":[0-9]{10}", "\"since_ms\":0         ")));
    }

    @Test
    public void originOverloadFromCacheMissesIsDetected() throws Exception {
        FaultInjector originStorm = resendMatching("GET /", (time, dialer, to, bytes) -> {
            for (int i = 0; i < 12; i++) {
                sendOnNewConnection(dialer, to, bytes);
            }
        });
        FaultInjector coldRouterWithStorm = new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer real) {
                return rewriteDiscovery("\"since_ms\":[0-9]{10}", "\"since_ms\":0         ")
                        .wrapDialer(time, originStorm.wrapDialer(time, real));
            }
        };
        // Warm routers cache all of the many keys, so that nearly every read at a cold router is a miss.
        Scenario scenario = ScenarioReader.parse(
                COLD_ROUTER_SCENARIO
                        .replace("tip_multiple = 1.2", "tip_multiple = 1000")
                        .replace("count = 300", "count = 20000\nexponent = 0.3\nsize = \"256B\"\nsize_sigma = 0")
                        .replace(
                                "capacity = \"30/s\"",
                                "capacity = \"20/s\"\nfall_multiple = 1.5\nfall = \"2s\"\nmost_falls = 50"),
                "storm");
        VirtualRun.Result result =
                VirtualRun.play(scenario, new VirtualRun.Options(1, null, true, at -> {}), coldRouterWithStorm);
        assertTrue(result.counts().toString(), result.counts().containsKey(Rule.ORIGIN_SPARED));
    }

    @Test
    public void attemptsSentAfterTheClientLeftAreDetected() throws Exception {
        String impatient = SMALL_SCENARIO.replace("impatient = \"0%\"", "impatient = \"60%\"");
        assertEquals(Rule.LEFT_ALONE, firstBrokenRule(impatient, new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer dialer) {
                return (to, events) -> new ForwardingLink(dialer.dial(to, events)) {
                    @Override
                    public void write(byte[] bytes) {
                        time.schedule(700_000, () -> real.write(bytes));
                    }
                };
            }
        }));
    }

    @Test
    public void exceptionInTheBalancerIsDetected() throws Exception {
        int[] dials = {0};
        assertEquals(Rule.INVARIANT, firstBrokenRule(SMALL_SCENARIO, new FaultInjector() {
            @Override
            public Dialer wrapDialer(Time time, Dialer real) {
                return (to, events) -> {
                    if (++dials[0] > 20) {
                        throw new IllegalStateException("no more connections");
                    }
                    return real.dial(to, events);
                };
            }
        }));
    }

    @Test
    public void violationReportNamesSeedTimeAndLastEvents() throws Exception {
        VirtualRun.Result result = VirtualRun.play(
                ScenarioReader.parse(SMALL_SCENARIO, "faulty"),
                VirtualRun.Options.seed(7),
                rewriteAnswers((link, bytes) -> {
                    link.close();
                    return null;
                }));
        Broken broken = result.broken().get(0);
        assertEquals(7, result.seed());
        assertTrue(broken.atMicros() > 0);
        assertTrue(
                broken.text(),
                broken.last().size() >= 3
                        && broken.text().contains("asked")
                        && broken.text().contains("relayed"));
        assertFalse(Arrays.asList(broken.request()).contains(""));
    }
}
