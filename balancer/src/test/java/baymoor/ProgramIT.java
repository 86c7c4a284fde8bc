package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** The built program as its clients and operators meet it. */
public class ProgramIT {

    private final World world = new World();

    @After
    public void end() throws IOException {
        world.close();
    }

    private static String[] read(String key, String id) {
        return new String[] {"OBJ.GET", key, id, "c=map-read,t=fraser-surveyors,d=1400,size=2.5"};
    }

    private static String value(String text) {
        return "*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n";
    }

    @Test
    public void aMissIsFetchedFromTheOriginWithIdAndFacts() throws IOException {
        World.Server router = world.router("s-a", 0, words -> "*3\r\n$-1\r\n$-1\r\n$-1\r\n");
        World.Server origin = world.origin(words -> "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap");
        world.start();
        try (World.Client client = world.client()) {
            assertEquals("map", client.ask(read("0a", "0b")));
        }
        assertEquals("OBJ.GET", router.got.get(0).words().get(0));
        assertEquals("0b", router.got.get(0).words().get(2));
        assertTrue(
                router.got.get(0).words().get(3),
                router.got.get(0).words().get(3).matches("c=map-read,t=fraser-surveyors,d=[0-9]+,size=2.5"));
        var sent = origin.got.get(0).words();
        assertEquals("GET /0a HTTP/1.1", sent.get(0));
        assertTrue(sent.toString(), sent.contains("x-correlation-id: 0b"));
        String facts = sent.stream()
                .filter(line -> line.startsWith("x-facts: "))
                .findFirst()
                .orElse("");
        assertTrue(facts, facts.matches("x-facts: c=map-read,t=fraser-surveyors,d=[0-9]+,size=2.5"));
        long told = Long.parseLong(facts.replaceAll(".*,d=([0-9]+),.*", "$1"));
        assertTrue("what is left of the client's 1400 ms, less the way there and back", told > 0 && told <= 1398);
    }

    @Test
    public void theLongestValuePassesWholeAndIdsKeepAnswersApart() throws IOException {
        String large = "x".repeat(64 * 1024);
        world.router("s-a", 0, words -> value(words.get(1).equals("0a") ? large : words.get(2)));
        world.start();
        try (World.Client client = world.client()) {
            assertEquals(large, client.ask(read("0a", "1")));
            client.send(read("0b", "2"));
            client.send(read("0c", "3"));
            assertEquals("2", client.answer());
            assertEquals("3", client.answer());
            String counters = client.ask("INFO");
            assertTrue(
                    counters,
                    counters.contains("requests:3\n")
                            && counters.contains("served:3\n")
                            && counters.contains("invariants_broken:0\n"));
        }
    }

    @Test
    public void badInputIsAnsweredAndOthersAreServedOn() throws IOException {
        world.router("s-a", 0, words -> value("v"));
        world.start();
        try (World.Client bad = world.client();
                World.Client good = world.client()) {
            assertEquals("-ERR unknown command 'FLUSHALL'", bad.ask("FLUSHALL"));
            assertEquals("-ERR unknown class", bad.ask("OBJ.GET", "0a", "1", "c=none,d=9"));
            bad.raw("*1\r\n$999999\r\n");
            assertTrue(bad.line().startsWith("-ERR Protocol error"));
            assertEquals(-1, bad.socket().getInputStream().read());
            assertEquals("v", good.ask(read("0a", "1")));
        }
    }

    @Test
    public void aCrowdOfConnectionsStaysWithinTheDescriptors() throws IOException {
        world.router("s-a", 0, words -> value("v"));
        world.start();
        List<World.Client> crowd = new ArrayList<>();
        for (int i = 0; i < 700; i++) {
            crowd.add(world.client());
            assertEquals("+PONG", crowd.get(i).ask("PING"));
        }
        assertEquals(
                "the oldest was idle longest",
                -1,
                crowd.get(0).socket().getInputStream().read());
        assertEquals("v", crowd.get(699).ask(read("0a", "1")));
        assertTrue(world.descriptors() < 600);
        for (World.Client client : crowd) {
            client.close();
        }
    }

    @Test
    public void aCrowdOfLargeWritesStaysWithinTheMemory() throws IOException {
        world.origin(words -> null);
        world.start();
        String large = "x".repeat(64 * 1024);
        List<World.Client> crowd = new ArrayList<>();
        for (int i = 0; i < 450; i++) {
            crowd.add(world.client());
            crowd.get(i).send("OBJ.SET", "0a", "id" + i, "c=search-order,t=fraser-surveyors,d=1400", large);
        }
        for (World.Client client : crowd) {
            String answer = client.answer();
            assertTrue(answer, answer.startsWith("-BUSY") || answer.equals("-ERR failed"));
            client.close();
        }
        try (World.Client client = world.client()) {
            String counters = client.ask("INFO");
            assertTrue(counters, counters.contains("task_failures:0\n") && !counters.contains("turned_away:0\n"));
        }
        String status = Files.readString(Path.of("/proc/" + world.process().pid() + "/status"));
        int peak = Integer.parseInt(status.replaceAll("(?s).*VmHWM:\\s*([0-9]+) kB.*", "$1")) / 1024;
        assertTrue(peak + " MB at the most", peak < 128);
    }

    @Test
    public void onSigtermItServesOnThenAnswersAllAndEnds() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        CountDownLatch mayAnswer = new CountDownLatch(1);
        world.router("s-a", 0, words -> {
            if (words.get(1).equals("0a")) {
                asked.countDown();
                try {
                    mayAnswer.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return value("v");
        });
        world.start();
        try (World.Client waiting = world.client()) {
            waiting.send(read("0a", "1"));
            assertTrue(asked.await(10, TimeUnit.SECONDS));
            world.process().toHandle().destroy(); // Process.destroy would close its error stream
            try (World.Client late = world.client()) {
                assertEquals("v", late.ask(read("0b", "2")));
            }
            mayAnswer.countDown();
            assertEquals("v", waiting.answer());
        }
        String end = new String(world.process().getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(world.process().waitFor(10, TimeUnit.SECONDS));
        assertTrue(end, end.contains("served=2 ") && end.contains("invariants_broken=0"));
    }

    @Test
    public void onSighupItFollowsDiscoveryAndABadFileChangesNothing() throws Exception {
        world.router("s-a", 0, words -> value("v"));
        world.start();
        assertTrue(world.watchedAt() > 0);
        world.reload("{\"name\":");
        assertTrue(world.said("the old configuration stays").contains("config detail=\"not JSON"));
        String moved = world.config();
        world.reload(moved);
        assertTrue(moved.contains("\"discovery\":\"127.0.0.1:" + world.watchedAt() + "\""));
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(read("0a", "1")));
        }
    }

    /** Seen: balancers started in the background by nohup never followed discovery, and sent on to routers that drained. */
    @Test
    public void whereItsParentIgnoresSighupItFollowsTheFileAllTheSame() throws Exception {
        world.router("s-a", 0, words -> value("v"));
        world.ignoringSighup().start();
        assertTrue(world.watchedAt() > 0);
        assertNotNull(world.said("SIGHUP is ignored"));
        world.reload("{\"name\":");
        assertNotNull(world.said("the old configuration stays"));
        String moved = world.config();
        world.reload(moved);
        assertTrue(moved.contains("\"discovery\":\"127.0.0.1:" + world.watchedAt() + "\""));
    }

    @Test
    public void whereListsArePushedADrainThatTheAgentTellsOfEndsWhatIsSentThere() throws Exception {
        World.Server leaving = world.router("s-a", 0, words -> value("old"));
        world.router("s-b", 0, words -> value("new"));
        world.pushed().start();
        world.tell(2, World.endpoint("s-a", leaving.port, "two-core", "terminating", 0));
        try (World.Client client = world.client()) {
            // The list and the requests come by different connections: the first ones may be before the list.
            String last = "old";
            for (int i = 0; i < 10_000 && (last.equals("old") || i < 200); i++) {
                last = client.ask(read(Integer.toHexString(i % 100), "id" + i));
            }
            int sent = leaving.got.size();
            for (int i = 0; i < 100; i++) {
                assertEquals("new", client.ask(read(Integer.toHexString(i), "after" + i)));
            }
            assertEquals(sent, leaving.got.size());
        }
    }

    @Test
    public void theAdapterOfTheSimulatorStartsFromTheSameBuild() throws Exception {
        Process sim = new ProcessBuilder("/bin/sh", "-c", World.deployed("sim")).start();
        try (OutputStream in = sim.getOutputStream()) {
            in.write("ROUND\tat_time=1\nFLUSH\n".getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("READY\n", new String(sim.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        assertTrue(sim.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, sim.exitValue());
    }

    @Test
    public void aBadConfigurationIsOneLineAndNoStart() throws Exception {
        Process process = world.launch("{\"name\":\"n0\",\"listen\":\"nowhere\"}");
        String said = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        assertEquals("config: listen is not an address with a port: nowhere", said.trim());
        assertFalse(process.isAlive());
    }
}
