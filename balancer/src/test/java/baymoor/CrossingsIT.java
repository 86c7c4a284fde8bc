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

/**
 * Two events that cross, with the built program on loopback: the stand-ins hold one of them back until the other is seen to
 * have happened.
 */
public class CrossingsIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private static final int CROWD = 24;
    private final World world = new World();

    @After
    public void end() throws IOException {
        world.close();
    }

    /** A read that waits at its cache for as long as its client does. */
    private static String[] order(String id) {
        return new String[] {"OBJ.GET", "0a", id, "c=search-order,t=fraser-surveyors,d=15000"};
    }

    @Test
    public void aClientLeavesWhileTheConnectionForItsRequestIsComingUp() throws Exception {
        World.Late router =
                world.with("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000").new Late("s-a", VALUE);
        world.start();
        try (World.Client client = world.client()) {
            client.send(order("left"));
            world.counted("relays:1");
        }
        world.counted("requests_gone:1");
        router.answers.countDown();
        world.counted("connections_opened:1");
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(order("stays")));
        }
        assertEquals("stays", router.first().get(2));
    }

    @Test
    public void aClientLeavesOnceTheConnectionForItsRequestIsUp() throws Exception {
        World.Late router =
                world.with("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000").new Late("s-a", VALUE);
        world.start();
        try (World.Client client = world.client()) {
            client.send(order("left"));
            world.counted("relays:1");
            router.answers.countDown();
            assertEquals("left", router.first().get(2));
        }
        world.counted("relays_served:1");
    }

    /** Danger: a client that is read no further because it sent much is not seen to leave, and all that it sent goes on. */
    @Test
    public void aClientSendsMuchAtOnceAndLeaves() throws Exception {
        World.Server router = world.router("s-a", 0, words -> null);
        world.start();
        try (World.Client client = world.client()) {
            StringBuilder much = new StringBuilder();
            for (int i = 0; i < 3000; i++) {
                much.append(World.Client.text(order("r" + i)));
            }
            client.raw(much.toString());
            world.counted("turned_away:" + (3000 - 128));
        }
        world.counted("requests_gone:128");
        world.counted("requests:128");
        assertTrue(router.got.size() <= 128);
    }

    /** Danger: a request that is read in the moment in which its connection is closed, and neither answered nor left unread. */
    @Test
    public void requestsThatCrossTheEndAreAnsweredOrLeftToTheirClients() throws Exception {
        World.Server router = world.router("s-a", 0, words -> VALUE);
        world.start();
        ExecutorService crowd = Executors.newFixedThreadPool(CROWD);
        CountDownLatch asking = new CountDownLatch(CROWD);
        List<Future<List<String>>> clients = new ArrayList<>();
        for (int c = 0; c < CROWD; c++) {
            int number = c;
            clients.add(crowd.submit(() -> {
                List<String> answered = new ArrayList<>();
                try (World.Client client = world.client()) {
                    for (int i = 0; ; i++) {
                        String id = number + "-" + i;
                        client.send("OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=1400");
                        String answer = client.answer();
                        if (answer.startsWith("-")) {
                            continue; // refused, as too many came at once
                        }
                        assertEquals("v", answer);
                        answered.add(id);
                        if (i == 0) {
                            asking.countDown();
                        }
                    }
                } catch (EOFException e) {
                    return answered; // between two answers; a reset is no such end
                }
            }));
        }
        assertTrue(asking.await(20, TimeUnit.SECONDS));
        world.process().toHandle().destroy();
        Set<String> answered = new HashSet<>();
        for (Future<List<String>> client : clients) {
            answered.addAll(client.get());
        }
        crowd.shutdown();
        assertTrue(world.process().waitFor(20, TimeUnit.SECONDS));
        Set<String> sent = new HashSet<>();
        router.got.forEach(got -> sent.add(got.words().get(2)));
        sent.removeAll(answered);
        assertEquals("sent on and not answered", Set.of(), sent);
    }

    private static String[] read(int key) {
        return new String[] {"OBJ.GET", Integer.toHexString(key), "id" + key, "c=map-read,t=fraser-surveyors,d=1400"};
    }

    /** What a list that has fallen silent misses counts as told 6 s later, whatever becomes of a call. */
    @Test
    public void aListThatGoesQuietIsHadAgainInTimeThoughTheFirstCallIsNeverAnswered() throws Exception {
        World.Server leaving = world.router("s-a", 0, words -> VALUE);
        World.Server staying = world.router("s-b", 0, words -> VALUE);
        world.scripted().start();
        world.called().watched().says(world.whole(1));
        long silent = System.nanoTime();
        World.Call hangs = world.called();
        World.Call second = world.called();
        long millis = TimeUnit.NANOSECONDS.toMillis(second.nanos - silent);
        assertTrue("asked again " + millis + " ms after the silence began", millis < 5_500);
        second.watched()
                .says(world.whole(2))
                .says("{\"index\":3,\"snapshot\":false,\"endpoints\":["
                        + World.endpoint("s-a", leaving.port, "two-core", "terminating", 0) + "]}");
        assertTrue(hangs.target, hangs.target.contains("watch=1&from=1"));
        try (World.Client client = world.client()) {
            int key = 0;
            while (staying.got.isEmpty() || !client.ask("INFO").contains("inventory_lists:3\n")) {
                assertEquals("v", client.ask(read(key++)));
            }
            int before = leaving.got.size();
            for (int i = 0; i < 100; i++) {
                assertEquals("v", client.ask(read(key++)));
            }
            assertEquals(before, leaving.got.size());
        }
    }

    /** What the agent holds counts as told from the first moment of a new process, whose configuration may be old. */
    @Test
    public void aStartServesNobodyBeforeTheAgentHasSpoken() throws Exception {
        World.Server leaving = world.router("s-a", 0, words -> VALUE);
        world.router("s-b", 0, words -> VALUE);
        world.pushed().scripted();
        world.launch(world.config());
        World.Call first = world.called();
        assertFalse("before it is answered nobody is let in", world.listens());
        String known = World.endpoint("s-a", leaving.port, "two-core", "in_service", 0);
        first.watched().says(world.whole(2).replace(known, known.replace("in_service", "terminating")));
        world.awaited();
        try (World.Client client = world.client()) {
            for (int i = 0; i < 100; i++) {
                assertEquals("v", client.ask(read(i)));
            }
        }
        assertEquals(0, leaving.got.size());
    }

    @Test
    public void aStartServesFromTheConfigurationsListWhereTheAgentStaysSilent() throws Exception {
        world.router("s-a", 0, words -> VALUE);
        world.pushed().scripted().start();
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(read(1)));
        }
        world.called().watched().says(world.whole(1));
        world.counted("inventory_lists:1");
    }

    @Test
    public void aSigtermWhileItStartsEndsItAtOnce() throws Exception {
        world.router("s-a", 0, words -> VALUE);
        world.pushed().scripted();
        world.launch(world.config());
        world.called(); // from here on the program handles signals, and waits for the agent
        world.process().toHandle().destroy();
        assertTrue(world.process().waitFor(20, TimeUnit.SECONDS));
        assertFalse(world.listens());
    }

    /** Danger: a JVM that does not handle SIGHUP yet ends by it, and one that has read its file keeps the old one. */
    @Test
    public void aSighupWhileItStartsIsFollowedOnceItServes() throws Exception {
        world.router("s-a", 0, words -> VALUE);
        world.pushed().scripted();
        world.launch(world.config());
        World.Call old = world.called();
        String moved = world.config();
        world.reload(moved);
        old.watched().says(world.whole(1));
        world.awaited();
        World.Call next = world.called();
        assertTrue(moved, moved.contains("\"discovery\":\"127.0.0.1:" + next.port() + "\""));
        next.watched().says(world.whole(2));
        world.counted("inventory_lists:2");
    }

    @Test
    public void aSighupDuringTheEndAndASecondSigtermChangeNothingOfIt() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        World.Server router = world.router("s-a", 0, words -> {
            try {
                mayAnswer.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return VALUE;
        });
        world.start();
        try (World.Client client = world.client()) {
            client.send(read(1));
            while (router.got.isEmpty()) {
                Thread.onSpinWait();
            }
            world.process().toHandle().destroy();
            world.reload(world.config());
            world.process().toHandle().destroy();
            world.reload("{");
            mayAnswer.countDown();
            assertEquals("v", client.answer());
        }
        assertTrue(world.process().waitFor(20, TimeUnit.SECONDS));
    }

    /** Clients that ask for nothing may take every descriptor while discovery is down; its return and the routers find room. */
    @Test
    public void idleClientsFillTheDescriptorsWhileDiscoveryIsDown() throws Exception {
        world.router("s-a", 0, words -> VALUE);
        world.with("\"sockets\":1024", "\"sockets\":128").scripted().start();
        world.called().refuse();
        List<World.Client> crowd = new ArrayList<>();
        long most = 0;
        for (int i = 0; i < 400; i++) {
            crowd.add(world.client());
            most = Math.max(most, world.descriptors());
        }
        world.called().watched().says(world.whole(7));
        world.counted("inventory_lists:1");
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(read(1)));
        }
        most = Math.max(most, world.descriptors());
        assertTrue(most + " descriptors", most <= 128);
        for (World.Client idle : crowd) {
            idle.close();
        }
    }
}
