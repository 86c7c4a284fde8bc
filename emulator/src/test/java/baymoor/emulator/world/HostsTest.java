package baymoor.emulator.world;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.ManualTime;
import baymoor.emulator.RecordingLink;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.BadScenario;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.link.LinkEvents;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Routers and the origin by the bytes of their connections. */
public class HostsTest {

    private static final String KEY = "00000000000000aa";

    private final ManualTime time = new ManualTime();
    private final Tally tally = new Tally();
    private final List<Router> fell = new ArrayList<>();
    private final List<String> falls = new ArrayList<>();
    private Judge judge;
    private Catalogue catalogue;
    private Fills fills;
    private Router router;

    /** A connection to a host: what it wrote, and whether it closed. */
    private static final class Client extends RecordingLink {
        LinkEvents host;

        void ask(String text) {
            host.received(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String said() {
            String all = out.toString();
            out.setLength(0);
            return all;
        }
    }

    private Scenario world(String more) throws BadScenario {
        Scenario s = ScenarioReader.parse("""
                [origin]
                capacity = "10/s"
                slots = 1
                room = 1
                sigma = 0
                errors = "0%"
                fall_multiple = 2
                fall = "1s"
                [[routers]]
                kind = "two-core"
                cores = 1
                speed = 1
                speed_spread = "0%"
                slots = 1
                room = 1
                errors = "0%"
                pause = "0ms"
                miss = "1ms"
                handshake = "0ms"
                cold_share = "10%"
                cold = "10s"
                """ + more, "hosts");
        judge = new Judge(time::now, s.figures(), 0, b -> {});
        catalogue = new Catalogue(s, 1);
        fills = new Fills(time, 100, s.origin().fallMicros(), key -> router.voided(key));
        router = new Router(
                "a",
                0,
                s.routers().get(0),
                s.figures(),
                time,
                new Streams(1).of("a"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                tally,
                fell::add);
        router.start(0);
        return s;
    }

    private Client client() {
        Client c = new Client();
        c.host = router.accept(c, 0);
        return c;
    }

    private static String get(String key, String id, int millis) {
        String facts = "c=map-read,t=x,d=" + millis;
        return "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n" + key + "\r\n$" + id.length() + "\r\n" + id + "\r\n$" + facts.length()
                + "\r\n" + facts + "\r\n";
    }

    @Test
    public void aMissIsToldThenAStoredObjectIsAHit() throws Exception {
        world("");
        Client c = client();
        c.ask(get(KEY, "r1", 900));
        time.pass(2_000);
        assertEquals("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", c.said());
        c.ask(get(KEY, "r2", 900));
        time.pass(2_000);
        assertEquals("*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", c.said());
        fills.fetched("r1", KEY, 100);
        time.pass(200);
        c.ask(get(KEY, "r3", 900));
        time.pass(200_000);
        String hit = c.said();
        assertTrue(hit, hit.contains("v " + KEY + " r3 ") && hit.endsWith("$3\r\nhit\r\n$-1\r\n"));
        fills.changed(KEY);
        time.pass(200);
        c.ask(get(KEY, "r4", 900));
        time.pass(2_000);
        assertTrue(c.said().contains("miss"));
    }

    @Test
    public void itsLoadIsReportedWhereTheSiteHasThat() throws Exception {
        world("[rules]\nreports = \"inline\"\n");
        Client c = client();
        c.ask(get(KEY, "r1", 900));
        time.pass(2_000);
        String text = "outstanding=0,backlog=0,utilization=0.00";
        assertEquals("*3\r\n$-1\r\n$4\r\nmiss\r\n$" + text.length() + "\r\n" + text + "\r\n", c.said());
        c.ask("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        assertEquals("$" + text.length() + "\r\n" + text + "\r\n", c.said());
        world("");
        c = client();
        c.ask("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        assertEquals("-NOPERM\r\n", c.said());
    }

    @Test
    public void pastSlotAndRoomItIsBusyAndACancelStopsNothing() throws Exception {
        world("");
        router.store(KEY, 100);
        Client first = client();
        Client second = client();
        Client third = client();
        first.ask(get(KEY, "r1", 900));
        second.ask(get(KEY, "r2", 900));
        third.ask(get(KEY, "r3", 900));
        assertEquals("-BUSY\r\n", third.said());
        first.host.closed();
        second.host.closed();
        assertEquals(1, router.inWork());
        assertEquals(1, router.waiting());
        time.pass(500_000);
        assertEquals("both ran for nobody", 2, tally.wastedRuns());
        assertEquals("", first.said());
    }

    @Test
    public void whatExpiresInTheWaitingRoomIsBegunOrDroppedAsTheKindHasIt() throws Exception {
        for (String expired : new String[] {"begin", "drop"}) {
            world("expired = \"" + expired + "\"\n");
            router.store(KEY, 100);
            Client first = client();
            Client second = client();
            first.ask(get(KEY, "r1", 900));
            second.ask(get(KEY, "r2", 20));
            time.pass(500_000);
            assertEquals(expired, expired.equals("drop"), second.said().equals("-BUSY\r\n"));
        }
    }

    @Test
    public void answersKeepTheOrderOfTheirRequests() throws Exception {
        world("");
        router.store(KEY, 100);
        Client c = client();
        c.ask(get(KEY, "r1", 900) + "*1\r\n$4\r\nPING\r\n");
        assertEquals("", c.said());
        time.pass(300_000);
        assertTrue(c.said().endsWith("+PONG\r\n"));
    }

    @Test
    public void itStartsColdAndWarmsWithTime() throws Exception {
        world("");
        router.stop();
        assertNull(router.accept(new Client(), 0));
        router.start(time.now());
        assertTrue(router.cold());
        assertEquals(0.1, router.warmth(), 0.001);
        time.pass(5_000_000);
        assertEquals(0.55, router.warmth(), 0.01);
        time.pass(5_000_001);
        assertEquals(1, router.warmth(), 0);
    }

    @Test
    public void tooMuchWorkWhileColdPushesItOver() throws Exception {
        world("");
        router.stop();
        router.start(time.now());
        Client c = client();
        // Its budget is three times a tenth of a core for 3 s, some 1.0 s of work; a miss costs 1 ms.
        for (int i = 0; i < 900; i++) {
            c.ask(get(KEY, "r" + i, 900));
        }
        assertEquals(List.of(), fell);
        for (int i = 900; i < 1_200; i++) {
            c.ask(get(KEY, "r" + i, 900));
        }
        assertEquals(List.of(router), fell);
        assertTrue(c.closed);
        assertEquals(Router.State.DOWN, router.state());
    }

    private Origin origin(Scenario s) {
        return new Origin(
                s,
                time,
                new Streams(1).of("origin"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                tally,
                () -> 0,
                () -> falls.add("fell"));
    }

    private static String put(String id, String more) {
        return "PUT /" + KEY + " HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id
                + "\r\nX-Facts: c=parcel-watch,t=x,d=900" + more + "\r\nContent-Length: 3\r\n\r\nabc";
    }

    @Test
    public void theRepeatOfAKeyedWriteHasNoSecondEffectWithinItsWindow() throws Exception {
        Origin origin = origin(world(""));
        Client c = new Client();
        c.host = origin.accept(c, 0);
        c.ask(put("w1", ",k=77"));
        time.pass(150_000);
        assertTrue(c.said().startsWith("HTTP/1.1 200 OK\r\n"));
        c.ask(put("w2", ",k=77"));
        time.pass(150_000);
        assertTrue("the repeat is answered all the same", c.said().contains("r " + KEY + " w2"));
        assertEquals(1, tally.writes());
        assertEquals(1, tally.repeatsDropped());
        time.pass(25_000_000);
        c.ask(put("w3", ",k=77"));
        time.pass(150_000);
        assertEquals(2, tally.writes());
    }

    @Test
    public void theOriginTurnsAwayWhatIsTooMuchAndSaysThatNothingRan() throws Exception {
        Origin origin = origin(world(""));
        Client[] c = new Client[3];
        for (int i = 0; i < 3; i++) {
            c[i] = new Client();
            c[i].host = origin.accept(c[i], 0);
            c[i].ask(put("w" + i, ""));
        }
        String third = c[2].said();
        assertTrue(third, third.startsWith("HTTP/1.1 503 ") && third.contains("X-Unprocessed: 1\r\n"));
        time.pass(300_000);
        assertEquals(2, tally.writes());
    }

    @Test
    public void theOriginStopsUnderTooMuchForTooLong() throws Exception {
        Origin origin = origin(world(""));
        Client c = new Client();
        c.host = origin.accept(c, 0);
        for (int i = 0; i < 25; i++) {
            c.host = c.host == null ? origin.accept(c, 0) : c.host;
            c.ask(put("w" + i, ""));
            time.pass(1_000);
        }
        assertTrue(origin.up());
        List<Client> more = new ArrayList<>();
        for (int i = 0; i < 25 && origin.up(); i++) {
            Client d = new Client();
            d.host = origin.accept(d, 0);
            d.ask(put("x" + i, ""));
            more.add(d);
        }
        assertEquals(List.of("fell"), falls);
        assertTrue(c.closed && more.get(0).closed);
        assertNull(origin.accept(new Client(), 0));
    }
}
