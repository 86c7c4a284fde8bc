package baymoor.emulator.virtual;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.Time;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.stream.LongStream;
import org.junit.Test;

/**
 * Guards against races: timeouts, answers, list updates, drains, closes and planned restarts are rounded to a common grid, and
 * simultaneous events run in an order that depends on a seed.
 */
public class ShuffledTest {

    private static final long GRID_MICROS = 4_000;
    private static final int SEEDS = 60;

    private static final String SCENARIO = """
            zones = ["a", "b"]
            warm_up = "1s"
            duration = "7s"
            [balancers]
            count = 3
            start = "300ms"
            [[routers]]
            kind = "two-core"
            count = 6
            cores = 2
            speed = 1.5
            idle_close = "4s"
            expired = "either"
            [keys]
            count = 400
            [origin]
            capacity = "30/s"
            errors = "3%"
            [rules]
            drain_grace = "100ms"
            [discovery]
            notice = "100ms"
            add = "100ms"
            spread = "60ms"
            [traffic]
            rate = "110/s"
            impatient = "25%"
            backoff = ["0ms", "20ms"]
            [[classes]]
            name = "map-read"
            share = "70%"
            aim = "400ms"
            give_up = "700ms"
            [[classes]]
            name = "search-order"
            share = "15%"
            effect = "unsafe"
            aim = "300ms"
            give_up = "500ms"
            [[classes]]
            name = "parcel-watch"
            share = "15%"
            effect = "keyed"
            window = "250ms"
            aim = "400ms"
            give_up = "900ms"
            [[script]]
            at = "500ms"
            do = "hang-router"
            count = 2
            for = "1s"
            [[script]]
            at = "1s"
            do = "restart-balancers"
            share = "100%"
            within = "2s"
            at_once = "34%"
            [[script]]
            at = "1500ms"
            do = "drain-router"
            for = "2s"
            [[script]]
            at = "2s"
            do = "bad-router"
            spoil = "reset"
            share = "40%"
            for = "2s"
            [[script]]
            at = "3s"
            do = "discovery-down"
            for = "700ms"
            [[script]]
            at = "3900ms"
            do = "drain-router"
            count = 2
            for = "2s"
            [[script]]
            at = "5s"
            do = "kill-balancer"
            for = "300ms"
            [[script]]
            at = "5500ms"
            do = "restart-router"
            count = 2
            for = "200ms"
            """;

    /** Delays about a third of the connections of balancers by 150 to 230 ms; they may be closed before. */
    private static final class DelayedDialer implements FaultInjector {
        private final Random random;

        DelayedDialer(long seed) {
            random = new Random(seed);
        }

        @Override
        public Dialer wrapDialer(Time time, Dialer real) {
            return (to, events) -> {
                if (random.nextInt(3) > 0) {
                    return real.dial(to, events);
                }
                Link[] link = new Link[1];
                boolean[] closed = new boolean[1];
                time.schedule(150_000 + random.nextInt(80) * 1_000, () -> {
                    if (!closed[0]) {
                        link[0] = real.dial(to, events);
                    }
                });
                return new ForwardingLink(null) {
                    @Override
                    public void write(byte[] bytes) {
                        link[0].write(bytes);
                    }

                    @Override
                    public void close() {
                        if (link[0] != null) {
                            link[0].close();
                        } else if (!closed[0]) {
                            time.schedule(0, events::closed);
                        }
                        closed[0] = true;
                    }

                    @Override
                    public void shutdownOutput(boolean evenIfUnread) {
                        link[0].shutdownOutput(evenIfUnread);
                    }

                    @Override
                    public boolean hasUnreadBytes() {
                        return link[0] != null && link[0].hasUnreadBytes();
                    }

                    @Override
                    public boolean isClosed() {
                        return link[0] == null ? closed[0] : link[0].isClosed();
                    }

                    @Override
                    public void setReading(boolean on) {
                        link[0].setReading(on);
                    }
                };
            };
        }
    }

    private static VirtualRun.Result play(String text, long seed, long shuffleSeed) throws Exception {
        Scenario scenario = ScenarioReader.parse(text, "crossings");
        return VirtualRun.play(
                scenario,
                new VirtualRun.Options(seed, null, false, at -> {}, GRID_MICROS, shuffleSeed),
                new DelayedDialer(seed));
    }

    private static String pushedScenario() {
        return SCENARIO.replace("[discovery]", "[discovery]\npushed = true");
    }

    @Test
    public void rulesHoldForEveryOrderOfSimultaneousEvents() {
        Map<String, String> failures = new ConcurrentSkipListMap<>();
        LongStream.rangeClosed(1, SEEDS).parallel().forEach(seed -> {
            try {
                VirtualRun.Result result = play(seed % 2 == 0 ? SCENARIO : pushedScenario(), seed, seed);
                if (!result.kept()) {
                    failures.put("seed " + seed, result.broken().get(0).text());
                } else if (result.tally().inTime() < result.tally().asked() / 4) {
                    failures.put(
                            "seed " + seed,
                            "only " + result.tally().inTime() + " of "
                                    + result.tally().asked() + " in time");
                }
            } catch (Exception | AssertionError e) {
                failures.put("seed " + seed, e.toString());
            }
        });
        assertEquals(Map.of(), failures);
    }

    @Test
    public void orderOfSimultaneousEventsDependsOnTheSeed() throws Exception {
        String first = play(SCENARIO, 1, 1).fingerprint();
        assertEquals(first, play(SCENARIO, 1, 1).fingerprint());
        assertNotEquals(
                "the same world in another order", first, play(SCENARIO, 1, 2).fingerprint());
    }
}
