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

/** Checks the simulated routers and origin by the bytes of their connections. */
public class HostsTest {

    private static final String KEY = "00000000000000aa";

    private final ManualTime time = new ManualTime();
    private final Tally tally = new Tally();
    private final List<Router> crashedRouters = new ArrayList<>();
    private final List<String> originCrashes = new ArrayList<>();
    private Judge judge;
    private WorkloadModel catalogue;
    private CacheFiller fills;
    private Router router;

    /** A client connection to a host, which records what the host writes and whether it closes. */
    private static final class Client extends RecordingLink {
        LinkEvents host;

        void send(String text) {
            host.received(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        String takeOutput() {
            String all = out.toString();
            out.setLength(0);
            return all;
        }
    }

    private Scenario setUpHosts(String extraSettings) throws BadScenario {
        Scenario scenario = ScenarioReader.parse("""
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
                """ + extraSettings, "hosts");
        judge = new Judge(time::now, scenario.figures(), 0, b -> {});
        catalogue = new WorkloadModel(scenario, 1);
        fills = new CacheFiller(time, 100, scenario.origin().fallMicros(), key -> router.invalidate(key));
        router = new Router(
                "a",
                0,
                scenario.routers().get(0),
                scenario.figures(),
                time,
                new Streams(1).of("a"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                tally,
                crashedRouters::add);
        router.start(0);
        return scenario;
    }

    private Client client() {
        Client client = new Client();
        client.host = router.accept(client, 0);
        return client;
    }

    private static String get(String key, String id, int millis) {
        String facts = "c=map-read,t=x,d=" + millis;
        return "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n" + key + "\r\n$" + id.length() + "\r\n" + id + "\r\n$" + facts.length()
                + "\r\n" + facts + "\r\n";
    }

    @Test
    public void reportsMissThenPendingThenHitAndMissesAfterInvalidation() throws Exception {
        setUpHosts("");
        Client client = client();
        client.send(get(KEY, "r1", 900));
        time.pass(2_000);
        assertEquals("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", client.takeOutput());
        client.send(get(KEY, "r2", 900));
        time.pass(2_000);
        assertEquals("*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", client.takeOutput());
        fills.fill("r1", KEY, 100);
        time.pass(200);
        client.send(get(KEY, "r3", 900));
        time.pass(200_000);
        String hit = client.takeOutput();
        assertTrue(hit, hit.contains("v " + KEY + " r3 ") && hit.endsWith("$3\r\nhit\r\n$-1\r\n"));
        fills.invalidate(KEY);
        time.pass(200);
        client.send(get(KEY, "r4", 900));
        time.pass(2_000);
        assertTrue(client.takeOutput().contains("miss"));
    }

    @Test
    public void reportsItsLoadOnlyWhenReportsAreEnabled() throws Exception {
        setUpHosts("[rules]\nreports = \"inline\"\n");
        Client client = client();
        client.send(get(KEY, "r1", 900));
        time.pass(2_000);
        String text = "outstanding=0,backlog=0,utilization=0.00";
        assertEquals("*3\r\n$-1\r\n$4\r\nmiss\r\n$" + text.length() + "\r\n" + text + "\r\n", client.takeOutput());
        client.send("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        assertEquals("$" + text.length() + "\r\n" + text + "\r\n", client.takeOutput());
        setUpHosts("");
        client = client();
        client.send("*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        assertEquals("-NOPERM\r\n", client.takeOutput());
    }

    @Test
    public void rejectsBeyondSlotsAndQueueAndRunsCancelledRequestsToTheEnd() throws Exception {
        setUpHosts("");
        router.store(KEY, 100);
        Client first = client();
        Client second = client();
        Client third = client();
        first.send(get(KEY, "r1", 900));
        second.send(get(KEY, "r2", 900));
        third.send(get(KEY, "r3", 900));
        assertEquals("-BUSY\r\n", third.takeOutput());
        first.host.closed();
        second.host.closed();
        assertEquals(1, router.runningCount());
        assertEquals(1, router.waitingCount());
        time.pass(500_000);
        assertEquals("both requests completed after their connections closed", 2, tally.wastedRuns());
        assertEquals("", first.takeOutput());
    }

    @Test
    public void startsOrDropsRequestsThatExpireInTheQueueAsConfigured() throws Exception {
        for (String expired : new String[] {"begin", "drop"}) {
            setUpHosts("expired = \"" + expired + "\"\n");
            router.store(KEY, 100);
            Client first = client();
            Client second = client();
            first.send(get(KEY, "r1", 900));
            second.send(get(KEY, "r2", 20));
            time.pass(500_000);
            assertEquals(expired, expired.equals("drop"), second.takeOutput().equals("-BUSY\r\n"));
        }
    }

    @Test
    public void answersPipelinedRequestsInOrder() throws Exception {
        setUpHosts("");
        router.store(KEY, 100);
        Client client = client();
        client.send(get(KEY, "r1", 900) + "*1\r\n$4\r\nPING\r\n");
        assertEquals("", client.takeOutput());
        time.pass(300_000);
        assertTrue(client.takeOutput().endsWith("+PONG\r\n"));
    }

    @Test
    public void startsColdAndWarmsUpWithTime() throws Exception {
        setUpHosts("");
        router.stop();
        assertNull(router.accept(new Client(), 0));
        router.start(time.now());
        assertTrue(router.cold());
        assertEquals(0.1, router.warmUpFactor(), 0.001);
        time.pass(5_000_000);
        assertEquals(0.55, router.warmUpFactor(), 0.01);
        time.pass(5_000_001);
        assertEquals(1, router.warmUpFactor(), 0);
    }

    @Test
    public void crashesUnderOverloadWhileCold() throws Exception {
        setUpHosts("");
        router.stop();
        router.start(time.now());
        Client client = client();
        // The overload budget is three times a tenth of a core over 3 s, about 1.0 s of work; a miss costs 1 ms.
        for (int i = 0; i < 900; i++) {
            client.send(get(KEY, "r" + i, 900));
        }
        assertEquals(List.of(), crashedRouters);
        for (int i = 900; i < 1_200; i++) {
            client.send(get(KEY, "r" + i, 900));
        }
        assertEquals(List.of(router), crashedRouters);
        assertTrue(client.closed);
        assertEquals(Router.State.DOWN, router.state());
    }

    private Origin origin(Scenario scenario) {
        return new Origin(
                scenario,
                time,
                new Streams(1).of("origin"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                tally,
                () -> 0,
                () -> originCrashes.add("fell"));
    }

    private static String put(String id, String extraFacts) {
        return "PUT /" + KEY + " HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: " + id
                + "\r\nX-Facts: c=parcel-watch,t=x,d=900" + extraFacts + "\r\nContent-Length: 3\r\n\r\nabc";
    }

    @Test
    public void originDropsRepeatedKeyedWritesWithinTheirWindow() throws Exception {
        Origin origin = origin(setUpHosts(""));
        Client client = new Client();
        client.host = origin.accept(client, 0);
        client.send(put("w1", ",k=77"));
        time.pass(150_000);
        assertTrue(client.takeOutput().startsWith("HTTP/1.1 200 OK\r\n"));
        client.send(put("w2", ",k=77"));
        time.pass(150_000);
        assertTrue("the repeated write is answered too", client.takeOutput().contains("r " + KEY + " w2"));
        assertEquals(1, tally.writes());
        assertEquals(1, tally.repeatsDropped());
        time.pass(25_000_000);
        client.send(put("w3", ",k=77"));
        time.pass(150_000);
        assertEquals(2, tally.writes());
    }

    @Test
    public void originRejectsBeyondSlotsAndQueueAndMarksRequestsUnprocessed() throws Exception {
        Origin origin = origin(setUpHosts(""));
        Client[] clients = new Client[3];
        for (int i = 0; i < 3; i++) {
            clients[i] = new Client();
            clients[i].host = origin.accept(clients[i], 0);
            clients[i].send(put("w" + i, ""));
        }
        String third = clients[2].takeOutput();
        assertTrue(third, third.startsWith("HTTP/1.1 503 ") && third.contains("X-Unprocessed: 1\r\n"));
        time.pass(300_000);
        assertEquals(2, tally.writes());
    }

    @Test
    public void originCrashesUnderSustainedOverload() throws Exception {
        Origin origin = origin(setUpHosts(""));
        Client client = new Client();
        client.host = origin.accept(client, 0);
        for (int i = 0; i < 25; i++) {
            client.host = client.host == null ? origin.accept(client, 0) : client.host;
            client.send(put("w" + i, ""));
            time.pass(1_000);
        }
        assertTrue(origin.up());
        List<Client> otherClients = new ArrayList<>();
        for (int i = 0; i < 25 && origin.up(); i++) {
            Client other = new Client();
            other.host = origin.accept(other, 0);
            other.send(put("x" + i, ""));
            otherClients.add(other);
        }
        assertEquals(List.of("fell"), originCrashes);
        assertTrue(client.closed && otherClients.get(0).closed);
        assertNull(origin.accept(new Client(), 0));
    }
}
