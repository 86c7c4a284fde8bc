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

/** End-to-end tests of the built balancer: serving, signals, configuration and resource limits. */
public class ProgramIT {

    private final BalancerEnvironment environment = new BalancerEnvironment();

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    private static String[] mapRead(String key, String id) {
        return new String[] {"OBJ.GET", key, id, "c=map-read,t=fraser-surveyors,d=1400,size=2.5"};
    }

    private static String hitResponse(String text) {
        return "*3\r\n$" + text.length() + "\r\n" + text + "\r\n$-1\r\n$-1\r\n";
    }

    @Test
    public void aMissIsFetchedFromTheOriginWithIdAndFacts() throws IOException {
        BalancerEnvironment.StubServer router = environment.router("s-a", 0, parts -> "*3\r\n$-1\r\n$-1\r\n$-1\r\n");
        BalancerEnvironment.StubServer origin =
                environment.origin(parts -> "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nmap");
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("map", client.request(mapRead("0a", "0b")));
        }
        assertEquals("OBJ.GET", router.received.get(0).parts().get(0));
        assertEquals("0b", router.received.get(0).parts().get(2));
        assertTrue(
                router.received.get(0).parts().get(3),
                router.received.get(0).parts().get(3).matches("c=map-read,t=fraser-surveyors,d=[0-9]+,size=2.5"));
        var originRequest = origin.received.get(0).parts();
        assertEquals("GET /0a HTTP/1.1", originRequest.get(0));
        assertTrue(originRequest.toString(), originRequest.contains("x-correlation-id: 0b"));
        String facts = originRequest.stream()
                .filter(line -> line.startsWith("x-facts: "))
                .findFirst()
                .orElse("");
        assertTrue(facts, facts.matches("x-facts: c=map-read,t=fraser-surveyors,d=[0-9]+,size=2.5"));
        long attemptMillis = Long.parseLong(facts.replaceAll(".*,d=([0-9]+),.*", "$1"));
        assertTrue(
                "remaining time of the client's 1400 ms, less the round trip",
                attemptMillis > 0 && attemptMillis <= 1398);
    }

    @Test
    public void theLargestValueIsForwardedWholeAndPipelinedAnswersMatchTheirRequests() throws IOException {
        String large = "x".repeat(64 * 1024);
        environment.router("s-a", 0, parts -> hitResponse(parts.get(1).equals("0a") ? large : parts.get(2)));
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals(large, client.request(mapRead("0a", "1")));
            client.send(mapRead("0b", "2"));
            client.send(mapRead("0c", "3"));
            assertEquals("2", client.readAnswer());
            assertEquals("3", client.readAnswer());
            String counters = client.request("INFO");
            assertTrue(
                    counters,
                    counters.contains("requests:3\n")
                            && counters.contains("served:3\n")
                            && counters.contains("invariants_broken:0\n"));
        }
    }

    @Test
    public void malformedInputIsAnsweredAndOtherClientsAreServed() throws IOException {
        environment.router("s-a", 0, parts -> hitResponse("v"));
        environment.start();
        try (BalancerEnvironment.Client badClient = environment.client();
                BalancerEnvironment.Client goodClient = environment.client()) {
            assertEquals("-ERR unknown command 'FLUSHALL'", badClient.request("FLUSHALL"));
            assertEquals("-ERR unknown class", badClient.request("OBJ.GET", "0a", "1", "c=none,d=9"));
            badClient.sendRaw("*1\r\n$999999\r\n");
            assertTrue(badClient.readLine().startsWith("-ERR Protocol error"));
            assertEquals(-1, badClient.socket().getInputStream().read());
            assertEquals("v", goodClient.request(mapRead("0a", "1")));
        }
    }

    @Test
    public void idleConnectionsAreEvictedWithinTheDescriptorLimit() throws IOException {
        environment.router("s-a", 0, parts -> hitResponse("v"));
        environment.start();
        List<BalancerEnvironment.Client> clients = new ArrayList<>();
        for (int i = 0; i < 700; i++) {
            clients.add(environment.client());
            assertEquals("+PONG", clients.get(i).request("PING"));
        }
        assertEquals(
                "the connection that was idle longest is evicted",
                -1,
                clients.get(0).socket().getInputStream().read());
        assertEquals("v", clients.get(699).request(mapRead("0a", "1")));
        assertTrue(environment.openDescriptors() < 600);
        for (BalancerEnvironment.Client client : clients) {
            client.close();
        }
    }

    @Test
    public void concurrentLargeWritesStayWithinTheMemoryLimit() throws IOException {
        environment.origin(parts -> null);
        environment.start();
        String large = "x".repeat(64 * 1024);
        List<BalancerEnvironment.Client> clients = new ArrayList<>();
        for (int i = 0; i < 450; i++) {
            clients.add(environment.client());
            clients.get(i).send("OBJ.SET", "0a", "id" + i, "c=search-order,t=fraser-surveyors,d=1400", large);
        }
        for (BalancerEnvironment.Client client : clients) {
            String answer = client.readAnswer();
            assertTrue(answer, answer.startsWith("-BUSY") || answer.equals("-ERR failed"));
            client.close();
        }
        try (BalancerEnvironment.Client client = environment.client()) {
            String counters = client.request("INFO");
            assertTrue(counters, counters.contains("task_failures:0\n") && !counters.contains("turned_away:0\n"));
        }
        String status =
                Files.readString(Path.of("/proc/" + environment.process().pid() + "/status"));
        int peakMegabytes = Integer.parseInt(status.replaceAll("(?s).*VmHWM:\\s*([0-9]+) kB.*", "$1")) / 1024;
        assertTrue(peakMegabytes + " MB at the peak", peakMegabytes < 128);
    }

    @Test
    public void sigtermDrainsAndAnswersEveryRequest() throws Exception {
        CountDownLatch requestReceived = new CountDownLatch(1);
        CountDownLatch answerAllowed = new CountDownLatch(1);
        environment.router("s-a", 0, parts -> {
            if (parts.get(1).equals("0a")) {
                requestReceived.countDown();
                try {
                    answerAllowed.await(10, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            return hitResponse("v");
        });
        environment.start();
        try (BalancerEnvironment.Client waiting = environment.client()) {
            waiting.send(mapRead("0a", "1"));
            assertTrue(requestReceived.await(10, TimeUnit.SECONDS));
            environment.process().toHandle().destroy(); // Process.destroy would close the error stream
            try (BalancerEnvironment.Client lateClient = environment.client()) {
                assertEquals("v", lateClient.request(mapRead("0b", "2")));
            }
            answerAllowed.countDown();
            assertEquals("v", waiting.readAnswer());
        }
        String errorOutput = new String(environment.process().getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(environment.process().waitFor(10, TimeUnit.SECONDS));
        assertTrue(errorOutput, errorOutput.contains("served=2 ") && errorOutput.contains("invariants_broken=0"));
    }

    @Test
    public void sighupMovesDiscoveryAndAnInvalidFileIsIgnored() throws Exception {
        environment.router("s-a", 0, parts -> hitResponse("v"));
        environment.start();
        assertTrue(environment.awaitWatchPort() > 0);
        environment.reload("{\"name\":");
        assertTrue(
                environment.awaitLogLine("keeping the previous configuration").contains("config detail=\"not JSON"));
        String newConfig = environment.config();
        environment.reload(newConfig);
        assertTrue(newConfig.contains("\"discovery\":\"127.0.0.1:" + environment.awaitWatchPort() + "\""));
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", client.request(mapRead("0a", "1")));
        }
    }

    /** Guards against balancers started by nohup that never follow a change of discovery. */
    @Test
    public void theFileIsPolledWhenSighupIsIgnored() throws Exception {
        environment.router("s-a", 0, parts -> hitResponse("v"));
        environment.ignoringSighup().start();
        assertTrue(environment.awaitWatchPort() > 0);
        assertNotNull(environment.awaitLogLine("SIGHUP is ignored"));
        environment.reload("{\"name\":");
        assertNotNull(environment.awaitLogLine("keeping the previous configuration"));
        String newConfig = environment.config();
        environment.reload(newConfig);
        assertTrue(newConfig.contains("\"discovery\":\"127.0.0.1:" + environment.awaitWatchPort() + "\""));
    }

    @Test
    public void aDrainPushedByTheAgentStopsAttemptsToTheRouter() throws Exception {
        BalancerEnvironment.StubServer drainingRouter = environment.router("s-a", 0, parts -> hitResponse("old"));
        environment.router("s-b", 0, parts -> hitResponse("new"));
        environment.pushingLists().start();
        environment.publish(2, BalancerEnvironment.endpoint("s-a", drainingRouter.port, "two-core", "terminating", 0));
        try (BalancerEnvironment.Client client = environment.client()) {
            // The list and the requests use different connections, so the first requests may arrive before the list.
            String last = "old";
            for (int i = 0; i < 10_000 && (last.equals("old") || i < 200); i++) {
                last = client.request(mapRead(Integer.toHexString(i % 100), "id" + i));
            }
            int receivedBefore = drainingRouter.received.size();
            for (int i = 0; i < 100; i++) {
                assertEquals("new", client.request(mapRead(Integer.toHexString(i), "after" + i)));
            }
            assertEquals(receivedBefore, drainingRouter.received.size());
        }
    }

    @Test
    public void theSimulatorAdapterStartsFromTheSameBuild() throws Exception {
        Process adapter = new ProcessBuilder("/bin/sh", "-c", BalancerEnvironment.deployCommand("sim")).start();
        try (OutputStream in = adapter.getOutputStream()) {
            in.write("ROUND\tat_time=1\nFLUSH\n".getBytes(StandardCharsets.US_ASCII));
        }
        assertEquals("READY\n", new String(adapter.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        assertTrue(adapter.waitFor(10, TimeUnit.SECONDS));
        assertEquals(0, adapter.exitValue());
    }

    @Test
    public void anInvalidConfigurationPrintsOneLineAndExits() throws Exception {
        Process process = environment.launch("{\"name\":\"n0\",\"listen\":\"nowhere\"}");
        String errorOutput = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertNotEquals(0, process.exitValue());
        assertEquals("config: listen is not an address with a port: nowhere", errorOutput.trim());
        assertFalse(process.isAlive());
    }
}
