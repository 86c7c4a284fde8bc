package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.scenario.ScenarioReader;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.Test;

/**
 * Checks that all balancers regain their watch soon after a mass kill or an outage, although discovery accepts only a limited
 * rate of calls and rejects the rest. Routers drain meanwhile. {@code docs/design/discovery.md} cites the printed figures.
 */
public class OverbookedDiscoveryTest {

    private static final String SCENARIO = """
            warm_up = "2s"
            duration = "%ds"
            [balancers]
            count = %d
            start = "1500ms"
            [discovery]
            notice = "200ms"
            spread = "60ms"
            call = "45ms"
            line = "0ms"
            failed = "20ms"
            at_once = true
            starts_as_held = true
            [[routers]]
            kind = "two-core"
            count = 30
            cores = 2
            speed = 1.5
            [keys]
            count = 2000
            [traffic]
            rate = "300/s"
            [[script]]
            at = "%dms"
            do = "drain-router"
            count = 9
            for = "30s"
            """;

    /** Kills 70% of the balancers at once. */
    private static final String MASS_KILL = """
            [[script]]
            at = "3s"
            do = "restart-balancers"
            share = "70%"
            within = "0s"
            at_once = "70%"
            planned = false
            """;

    /** Discovery answers as overloaded while it is down. */
    private static final String BUSY_WHEN_DOWN = "starts_as_held = true\nbusy_when_down = true\nat_once = false\n";

    private static final String LONG_OUTAGE = """
            [[script]]
            at = "3s"
            do = "discovery-down"
            for = "20s"
            """;

    /** Discovery is down while routers drain. */
    private static final String OUTAGE = """
            [[script]]
            at = "3s"
            do = "discovery-down"
            for = "6s"
            """;

    /** Second of the run at which killed balancers listen again; script times start after the warm-up. */
    private static final double RESTARTED_SECOND = 6.5;

    /** Second of the run at which discovery is available again. */
    private static final double DISCOVERY_BACK_SECOND = 11;

    private static final double FIRST_KILL_SECOND = 5;
    /** Watch calls that discovery serves per second. */
    private static final int MAX_WATCH_CALLS_PER_SECOND = 22;

    /** The outcome of the watch calls of a run. */
    private record WatchCalls(
            List<String> broken, int callers, int maxCallsPerSecond, List<Double> watchDelaysSeconds, double served) {

        /** Returns the seconds until a percentage of the callers had a watch; infinite if they never had. */
        double secondsUntilWatched(int percent) {
            int index = (callers * percent + 99) / 100 - 1;
            return index < watchDelaysSeconds.size() ? watchDelaysSeconds.get(index) : Double.POSITIVE_INFINITY;
        }

        @Override
        public String toString() {
            return String.format(
                    java.util.Locale.ROOT,
                    "%d callers, at most %d calls a second, %d watched: after %.1f s (50%%), %.1f s (99%%), %.1f s (100%%); served %.3f",
                    callers,
                    maxCallsPerSecond,
                    watchDelaysSeconds.size(),
                    secondsUntilWatched(50),
                    secondsUntilWatched(99),
                    secondsUntilWatched(100),
                    served);
        }
    }

    private static WatchCalls play(
            int balancers, String script, int drainMillis, double fromSecond, int untilSecond, int callers)
            throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        String text = String.format(SCENARIO, untilSecond - 2, balancers, drainMillis);
        if (script.equals(LONG_OUTAGE)) {
            text = text.replace("at_once = true\n", "").replace("starts_as_held = true\n", BUSY_WHEN_DOWN);
        }
        VirtualRun.Result result = VirtualRun.play(
                ScenarioReader.parse(text + script, "overbooked"), new VirtualRun.Options(11, log, true, micros -> {}));
        Map<Long, Integer> calls = new HashMap<>();
        Set<String> watched = new HashSet<>();
        Set<String> restarted = new HashSet<>();
        List<Double> delays = new ArrayList<>();
        for (String line : log.toString(StandardCharsets.UTF_8).split("\n")) {
            String[] fields = line.split(" ");
            double second = Long.parseLong(fields[0]) / 1e6;
            if (fields[1].equals("start") && second > FIRST_KILL_SECOND) {
                restarted.add(fields[2]);
            }
            if (!fields[1].equals("act") || !fields[2].startsWith("list-") || second < fromSecond) {
                continue;
            }
            calls.merge((long) second, 1, Integer::sum);
            if (fields[2].equals("list-watched")
                    && (restarted.isEmpty() || restarted.contains(fields[3]))
                    && watched.add(fields[3])) {
                delays.add(second - fromSecond);
            }
        }
        Collections.sort(delays);
        WatchCalls summary = new WatchCalls(
                result.broken().stream().map(b -> b.rule() + " " + b.what()).toList(),
                callers,
                calls.values().stream().mapToInt(c -> c).max().orElse(0),
                delays,
                result.tally().inTimeShare());
        System.out.println("overbooked discovery, " + balancers + " balancers, "
                + (script.equals(MASS_KILL) ? "mass kill" : script.equals(OUTAGE) ? "outage" : "long outage") + ": "
                + summary
                + ", " + result.events() + " events, "
                + "rules broken " + result.counts() + ", "
                + result.wallNanos() / 1_000_000 + " ms");
        return summary;
    }

    private static WatchCalls kill(int balancers) throws Exception {
        return play(balancers, MASS_KILL, 3_200, RESTARTED_SECOND, 20, balancers * 7 / 10);
    }

    /** An outage longer than the time within which balancers must learn of a change. */
    private static WatchCalls longOutage(int balancers) throws Exception {
        return play(balancers, LONG_OUTAGE, 5_000, DISCOVERY_BACK_SECOND + 14, 40, balancers);
    }

    private static WatchCalls outage(int balancers) throws Exception {
        return play(balancers, OUTAGE, 5_000, DISCOVERY_BACK_SECOND, 26, balancers);
    }

    @Test
    public void twentyBalancersRegainTheirWatchAfterAMassKill() throws Exception {
        WatchCalls calls = kill(20);
        assertEquals(List.of(), calls.broken());
        assertTrue(
                calls.toString(),
                calls.secondsUntilWatched(100) < 3 && calls.maxCallsPerSecond() <= MAX_WATCH_CALLS_PER_SECOND);
    }

    @Test
    public void hundredBalancersRegainTheirWatchAfterAMassKill() throws Exception {
        WatchCalls calls = kill(100);
        assertEquals(List.of(), calls.broken());
        assertTrue(
                calls.toString(),
                calls.secondsUntilWatched(50) < 4
                        && calls.secondsUntilWatched(99) < 8
                        && calls.maxCallsPerSecond() <= 2 * MAX_WATCH_CALLS_PER_SECOND);
    }

    @Test
    public void twentyBalancersRegainTheirWatchAfterAnOutage() throws Exception {
        WatchCalls calls = outage(20);
        assertEquals(List.of(), calls.broken());
        assertTrue(
                calls.toString(),
                calls.secondsUntilWatched(100) < 3 && calls.maxCallsPerSecond() <= MAX_WATCH_CALLS_PER_SECOND);
    }

    @Test
    public void hundredBalancersRegainTheirWatchAfterAnOutage() throws Exception {
        WatchCalls calls = outage(100);
        assertEquals(List.of(), calls.broken());
        assertTrue(
                calls.toString(),
                calls.secondsUntilWatched(50) < 4
                        && calls.secondsUntilWatched(99) < 8
                        && calls.maxCallsPerSecond() <= 2 * MAX_WATCH_CALLS_PER_SECOND);
    }

    /** Guards against refusing requests on the last known list when discovery reports overload instead of being unreachable. */
    @Test
    public void longOutageReportedAsBusyCostsNoService() throws Exception {
        for (int balancers : new int[] {5, 20, 100}) {
            WatchCalls calls = longOutage(balancers);
            assertEquals(List.of(), calls.broken());
            assertTrue(calls.toString(), calls.served() > 0.9);
            // The wait of a call made just before the end of the outage, the pause, the call window and the answer.
            assertTrue(calls.toString(), calls.secondsUntilWatched(100) < 2 + 2 + 0.08 * balancers + 1);
        }
    }

    /** Runs only when enabled: {@code mvn -pl emulator -am test -Dtest=OverbookedDiscoveryTest -Dbaymoor.balancers=640}. */
    @Test
    public void configuredNumberOfBalancers() throws Exception {
        int balancers = Integer.getInteger("baymoor.balancers", 0);
        if (balancers > 0) {
            kill(balancers);
            outage(balancers);
        }
    }
}
