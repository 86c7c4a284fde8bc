package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Concurrent events at the built balancer: stub servers hold one event back until the other one has happened. */
public class ConcurrentEventsIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private static final int CLIENTS = 24;
    private final BalancerEnvironment environment = new BalancerEnvironment();

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    /** A read whose attempt has the client's whole deadline. */
    private static String[] orderRead(String id) {
        return new String[] {"OBJ.GET", "0a", id, "c=search-order,t=fraser-surveyors,d=15000"};
    }

    @Test
    public void aClientDisconnectsWhileTheConnectionForItsRequestIsOpening() throws Exception {
        BalancerEnvironment.DelayedServer router =
                environment.replacing("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000")
                .new DelayedServer("s-a", VALUE);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            client.send(orderRead("left"));
            environment.awaitCounter("relays:1");
        }
        environment.awaitCounter("requests_gone:1");
        router.acceptConnections.countDown();
        environment.awaitCounter("connections_opened:1");
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", client.request(orderRead("stays")));
        }
        assertEquals("stays", router.awaitRequest().get(2));
    }

    @Test
    public void aClientDisconnectsAfterTheConnectionForItsRequestHasOpened() throws Exception {
        BalancerEnvironment.DelayedServer router =
                environment.replacing("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000")
                .new DelayedServer("s-a", VALUE);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            client.send(orderRead("left"));
            environment.awaitCounter("relays:1");
            router.acceptConnections.countDown();
            assertEquals("left", router.awaitRequest().get(2));
        }
        environment.awaitCounter("relays_served:1");
    }

    /** Guards against a disconnect that goes unnoticed while reading is suspended, so that all queued requests are attempted. */
    @Test
    public void aDisconnectIsNoticedWhileReadingIsSuspended() throws Exception {
        BalancerEnvironment.StubServer router = environment.router("s-a", 0, parts -> null);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < 3000; i++) {
                commands.append(BalancerEnvironment.Client.encode(orderRead("r" + i)));
            }
            client.sendRaw(commands.toString());
            environment.awaitCounter("turned_away:" + (3000 - 128));
        }
        environment.awaitCounter("requests_gone:128");
        environment.awaitCounter("requests:128");
        assertTrue(router.received.size() <= 128);
    }

    /** Guards against fetches for clients that have gone after input that the balancer can't read. */
    @Test
    public void aDisconnectIsNoticedAfterUnreadableInput() throws Exception {
        CountDownLatch missAllowed = new CountDownLatch(1);
        environment.router("s-a", 0, parts -> {
            try {
                missAllowed.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return "*3\r\n$-1\r\n$-1\r\n$-1\r\n";
        });
        BalancerEnvironment.StubServer origin =
                environment.origin(parts -> "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            client.sendRaw(
                    BalancerEnvironment.Client.encode(orderRead("left")) + "what is this\r\n" + "x".repeat(200_000));
            environment.awaitCounter("commands_bad:1");
            environment.awaitCounter("relays:1");
        }
        environment.awaitCounter("requests_gone:1");
        missAllowed.countDown();
        environment.awaitCounter("relays_miss:1");
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("ok", client.request(orderRead("stays")));
        }
        assertEquals(1, origin.received.size());
        assertTrue(origin.received.get(0).parts().contains("x-correlation-id: stays"));
    }

    /** Guards against a request that is read while its connection is being closed, and then never answered. */
    @Test
    public void requestsReadDuringShutdownAreAnswered() throws Exception {
        BalancerEnvironment.StubServer router = environment.router("s-a", 0, parts -> VALUE);
        environment.start();
        ExecutorService executor = Executors.newFixedThreadPool(CLIENTS);
        CountDownLatch firstAnswers = new CountDownLatch(CLIENTS);
        List<Future<List<String>>> clients = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int number = c;
            clients.add(executor.submit(() -> {
                List<String> answered = new ArrayList<>();
                try (BalancerEnvironment.Client client = environment.client()) {
                    for (int i = 0; ; i++) {
                        String id = number + "-" + i;
                        client.send("OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=1400");
                        String answer = client.readAnswer();
                        if (answer.startsWith("-")) {
                            continue; // refused under load
                        }
                        assertEquals("v", answer);
                        answered.add(id);
                        if (i == 0) {
                            firstAnswers.countDown();
                        }
                    }
                } catch (EOFException e) {
                    return answered; // closed between two answers; a reset would fail the test
                }
            }));
        }
        assertTrue(firstAnswers.await(20, TimeUnit.SECONDS));
        environment.process().toHandle().destroy();
        Set<String> answered = new HashSet<>();
        for (Future<List<String>> client : clients) {
            answered.addAll(client.get());
        }
        executor.shutdown();
        assertTrue(environment.process().waitFor(20, TimeUnit.SECONDS));
        Set<String> unansweredIds = new HashSet<>();
        router.received.forEach(message -> unansweredIds.add(message.parts().get(2)));
        unansweredIds.removeAll(answered);
        assertEquals("forwarded but not answered", Set.of(), unansweredIds);
    }

    private static String[] mapRead(int key) {
        return new String[] {"OBJ.GET", Integer.toHexString(key), "id" + key, "c=map-read,t=fraser-surveyors,d=1400"};
    }

    /** A change counts as known 6 s after the watch has fallen silent, even if a request for the list is never answered. */
    @Test
    public void aSilentWatchIsReplacedInTimeThoughTheFirstCallIsNeverAnswered() throws Exception {
        BalancerEnvironment.StubServer drainingRouter = environment.router("s-a", 0, parts -> VALUE);
        BalancerEnvironment.StubServer activeRouter = environment.router("s-b", 0, parts -> VALUE);
        environment.scriptingDiscovery().start();
        environment.awaitDiscoveryCall().startWatch().sendChunk(environment.fullList(1));
        long lastListNanos = System.nanoTime();
        BalancerEnvironment.DiscoveryCall unansweredCall = environment.awaitDiscoveryCall();
        BalancerEnvironment.DiscoveryCall secondCall = environment.awaitDiscoveryCall();
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(secondCall.receivedNanos - lastListNanos);
        assertTrue("second request " + elapsedMillis + " ms after the last list", elapsedMillis < 5_500);
        secondCall
                .startWatch()
                .sendChunk(environment.fullList(2))
                .sendChunk("{\"index\":3,\"snapshot\":false,\"endpoints\":["
                        + BalancerEnvironment.endpoint("s-a", drainingRouter.port, "two-core", "terminating", 0)
                        + "]}");
        assertTrue(unansweredCall.target, unansweredCall.target.contains("watch=1&from=1"));
        try (BalancerEnvironment.Client client = environment.client()) {
            int key = 0;
            while (activeRouter.received.isEmpty() || !client.request("INFO").contains("inventory_lists:3\n")) {
                assertEquals("v", client.request(mapRead(key++)));
            }
            int receivedBefore = drainingRouter.received.size();
            for (int i = 0; i < 100; i++) {
                assertEquals("v", client.request(mapRead(key++)));
            }
            assertEquals(receivedBefore, drainingRouter.received.size());
        }
    }

    /** The agent's list applies from the first request on, since the configured list may be outdated. */
    @Test
    public void noClientIsServedBeforeTheAgentsFirstList() throws Exception {
        BalancerEnvironment.StubServer drainingRouter = environment.router("s-a", 0, parts -> VALUE);
        environment.router("s-b", 0, parts -> VALUE);
        environment.pushingLists().scriptingDiscovery();
        environment.launch(environment.config());
        BalancerEnvironment.DiscoveryCall firstCall = environment.awaitDiscoveryCall();
        assertFalse("listens before the first list", environment.isListening());
        String inService = BalancerEnvironment.endpoint("s-a", drainingRouter.port, "two-core", "in_service", 0);
        firstCall
                .startWatch()
                .sendChunk(environment.fullList(2).replace(inService, inService.replace("in_service", "terminating")));
        environment.awaitReady();
        try (BalancerEnvironment.Client client = environment.client()) {
            for (int i = 0; i < 100; i++) {
                assertEquals("v", client.request(mapRead(i)));
            }
        }
        assertEquals(0, drainingRouter.received.size());
    }

    @Test
    public void theConfiguredListIsUsedWhenTheAgentStaysSilent() throws Exception {
        environment.router("s-a", 0, parts -> VALUE);
        environment.pushingLists().scriptingDiscovery().start();
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", client.request(mapRead(1)));
        }
        environment.awaitDiscoveryCall().startWatch().sendChunk(environment.fullList(1));
        environment.awaitCounter("inventory_lists:1");
    }

    @Test
    public void sigtermDuringStartupExitsAtOnce() throws Exception {
        environment.router("s-a", 0, parts -> VALUE);
        environment.pushingLists().scriptingDiscovery();
        environment.launch(environment.config());
        environment.awaitDiscoveryCall(); // by now the balancer handles signals and waits for the agent
        environment.process().toHandle().destroy();
        assertTrue(environment.process().waitFor(20, TimeUnit.SECONDS));
        assertFalse(environment.isListening());
    }

    /** Guards against a SIGHUP that ends the JVM before its handler is installed, or is lost after the file was read. */
    @Test
    public void sighupDuringStartupReloadsOnceServing() throws Exception {
        environment.router("s-a", 0, parts -> VALUE);
        environment.pushingLists().scriptingDiscovery();
        environment.launch(environment.config());
        BalancerEnvironment.DiscoveryCall firstCall = environment.awaitDiscoveryCall();
        String newConfig = environment.config();
        environment.reload(newConfig);
        firstCall.startWatch().sendChunk(environment.fullList(1));
        environment.awaitReady();
        BalancerEnvironment.DiscoveryCall nextCall = environment.awaitDiscoveryCall();
        assertTrue(newConfig, newConfig.contains("\"discovery\":\"127.0.0.1:" + nextCall.port() + "\""));
        nextCall.startWatch().sendChunk(environment.fullList(2));
        environment.awaitCounter("inventory_lists:2");
    }

    @Test
    public void sighupAndASecondSigtermDuringShutdownChangeNothing() throws Exception {
        CountDownLatch answerAllowed = new CountDownLatch(1);
        BalancerEnvironment.StubServer router = environment.router("s-a", 0, parts -> {
            try {
                answerAllowed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return VALUE;
        });
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            client.send(mapRead(1));
            while (router.received.isEmpty()) {
                Thread.onSpinWait();
            }
            environment.process().toHandle().destroy();
            environment.reload(environment.config());
            environment.process().toHandle().destroy();
            environment.reload("{");
            answerAllowed.countDown();
            assertEquals("v", client.readAnswer());
        }
        assertTrue(environment.process().waitFor(20, TimeUnit.SECONDS));
    }

    /** Guards against idle clients that take every descriptor while discovery is down, so that it cannot be reached again. */
    @Test
    public void idleClientsLeaveDescriptorsForDiscoveryAndRouters() throws Exception {
        environment.router("s-a", 0, parts -> VALUE);
        environment
                .replacing("\"sockets\":1024", "\"sockets\":128")
                .scriptingDiscovery()
                .start();
        environment.awaitDiscoveryCall().closeUnanswered();
        List<BalancerEnvironment.Client> idleClients = new ArrayList<>();
        long maxDescriptors = 0;
        for (int i = 0; i < 400; i++) {
            idleClients.add(environment.client());
            maxDescriptors = Math.max(maxDescriptors, environment.openDescriptors());
        }
        environment.awaitDiscoveryCall().startWatch().sendChunk(environment.fullList(7));
        environment.awaitCounter("inventory_lists:1");
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", client.request(mapRead(1)));
        }
        maxDescriptors = Math.max(maxDescriptors, environment.openDescriptors());
        assertTrue(maxDescriptors + " descriptors", maxDescriptors <= 128);
        for (BalancerEnvironment.Client idle : idleClients) {
            idle.close();
        }
    }
}
