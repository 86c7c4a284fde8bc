package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.ManualTime;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import org.json.JSONObject;
import org.junit.Test;

public class ListExchangeTest {

    private static final long SECOND = 1_000_000;
    private static final long A = Inventory.hash("a");
    private static final long B = Inventory.hash("b");

    private final ManualTime time = new ManualTime();
    private final Random random = new Random(7);
    private final List<Node> nodes = new ArrayList<>();
    private long sentDatagrams;
    private double lossRate;
    private double duplicationRate;
    private long maxDelayMicros = 5_000;
    /** Applied to each datagram on delivery. */
    private java.util.function.UnaryOperator<byte[]> corruption = bytes -> bytes;

    private final class Node {
        final int number;
        final Counters counters = new Counters();
        final Inventory inventory = new Inventory(millis -> millis * 1000, counters);
        final ListConfirmation confirmation = ListConfirmation.startingAt(time.now(), true);
        final List<ServerList> events = new ArrayList<>();
        final ListExchange exchange;
        boolean receiving = true;

        Node(int number, int balancers) {
            this.number = number;
            exchange = new ListExchange(
                    number,
                    balancers,
                    number,
                    time,
                    inventory,
                    confirmation,
                    counters,
                    (peer, content) -> send(number, peer, content),
                    events::add);
        }

        void deliver(int from, byte[] content) {
            if (receiving) {
                assertTrue(content.length <= 256);
                exchange.handleDatagram(from, content);
            }
        }

        State state(long id) {
            return inventory.entry(id).state();
        }
    }

    private void send(int from, int to, byte[] content) {
        sentDatagrams++;
        for (int copies = random.nextDouble() < duplicationRate ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossRate) {
                byte[] delivered = corruption.apply(content);
                time.schedule(
                        (long) (random.nextDouble() * maxDelayMicros),
                        () -> nodes.get(to).deliver(from, delivered));
            }
        }
    }

    private void startTier(int balancers) {
        for (int i = 0; i < balancers; i++) {
            nodes.add(new Node(i, balancers));
            nodes.get(i).inventory.applyConfiguredList(list(1, true, running("a"), running("b")));
        }
    }

    private static JSONObject list(long index, boolean snapshot, String... entries) {
        return new JSONObject("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                + String.join(",", entries) + "]}");
    }

    private static String entry(String name, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:7\",\"status\":\"" + status + "\"}";
    }

    private static String running(String name) {
        return entry(name, "in_service");
    }

    private static String draining(String name) {
        return entry(name, "terminating");
    }

    /** Delivers a list to a node through its own watch, which is live from then on. */
    private void watch(int node, JSONObject list) {
        nodes.get(node).inventory.applyWatchObject(list.toString());
        nodes.get(node).confirmation.watchHeartbeat(time.now());
    }

    private void seekAll() {
        nodes.forEach(node -> node.exchange.startQuerying());
    }

    @Test
    public void nothingIsSentWhileAllWatchesAreLive() {
        startTier(5);
        for (int i = 0; i < 5; i++) {
            watch(i, list(1, true, running("a"), running("b")));
        }
        seekAll();
        time.advance(60 * SECOND);
        assertEquals(0, sentDatagrams);
    }

    @Test
    public void singleBalancerSendsNoQueries() {
        startTier(1);
        seekAll();
        time.advance(60 * SECOND);
        assertEquals(0, sentDatagrams);
    }

    @Test
    public void oneWatchInformsTheWholeTier() {
        for (int balancers : new int[] {2, 20, 100, 640}) {
            nodes.clear();
            startTier(balancers);
            watch(0, list(2, false, draining("a")));
            seekAll();
            time.advance(2 * SECOND);
            long informed =
                    nodes.stream().filter(n -> n.state(A) != State.RUNNING).count();
            assertTrue(balancers + " balancers: " + informed + " informed", informed >= 0.99 * balancers);
            time.advance(SECOND);
            for (Node node : nodes) {
                assertEquals(State.DRAINING, node.state(A));
                assertEquals(State.RUNNING, node.state(B));
                assertTrue(node.confirmation.isConfirmed());
            }
        }
    }

    @Test
    public void oneWatchInformsTheWholeTierDespiteLossDelayAndDuplication() {
        lossRate = 0.3;
        duplicationRate = 0.3;
        maxDelayMicros = 150_000;
        startTier(100);
        watch(0, list(2, false, draining("a")));
        seekAll();
        time.advance(5 * SECOND);
        nodes.forEach(node -> assertEquals(State.DRAINING, node.state(A)));
    }

    /** Guards against a list that looks fresher each time it is forwarded. */
    @Test
    public void forwardedListKeepsItsAge() {
        startTier(20);
        watch(0, list(2, false, draining("a")));
        long watchedMicros = time.now();
        nodes.get(0).confirmation.watchLost();
        seekAll();
        time.advance(20 * SECOND);
        for (Node node : nodes) {
            assertTrue(node.confirmation.lastCompleteMicros() <= watchedMicros);
            assertFalse(node.confirmation.isFresh(watchedMicros + 26 * SECOND));
        }
    }

    @Test
    public void queriesStopWithTheOwnWatchAndResumeWhenItIsLost() {
        startTier(4);
        seekAll();
        time.advance(10 * SECOND);
        long sentBefore = sentDatagrams;
        assertTrue("queries back off: " + sentBefore, sentBefore <= 4 * 2 * 3 * 30);
        for (int i = 0; i < 4; i++) {
            watch(i, list(2, true, running("a")));
        }
        time.advance(2 * SECOND);
        sentBefore = sentDatagrams;
        time.advance(60 * SECOND);
        assertEquals(sentBefore, sentDatagrams);
        nodes.get(2).confirmation.watchLost();
        nodes.get(2).exchange.startQuerying();
        nodes.get(2).exchange.startQuerying();
        assertEquals("one round of three queries", sentBefore + 3, sentDatagrams);
    }

    @Test
    public void replyNeverStartsAHost() {
        startTier(2);
        Node querying = nodes.get(0);
        querying.inventory.applyWatchObject(list(2, false, draining("a")).toString());
        watch(1, list(3, false, running("a"), draining("b"), running("c")));
        querying.exchange.startQuerying();
        time.advance(SECOND);
        assertEquals(State.DRAINING, querying.state(A));
        assertEquals(State.DRAINING, querying.state(B));
        assertEquals("no host is added", null, querying.inventory.entry(Inventory.hash("c")));
        ServerList event = querying.events.get(0);
        assertEquals("not from the own watch", ListKind.LAST_KNOWN, event.kind());
        assertTrue(event.servers().stream().noneMatch(s -> s.state() == State.RUNNING));
        assertEquals(1, querying.events.size());
    }

    @Test
    public void replyWithAnOlderListIsIgnored() {
        startTier(2);
        Node querying = nodes.get(0);
        querying.inventory.applyWatchObject(
                list(9, true, running("a"), running("b")).toString());
        watch(1, list(8, true, running("a")));
        querying.exchange.startQuerying();
        time.advance(SECOND);
        assertEquals(State.RUNNING, querying.state(B));
        assertFalse(querying.confirmation.isConfirmed());
    }

    @Test
    public void stopIsLiftedOnlyByAListFromDiscovery() {
        startTier(2);
        Node querying = nodes.get(0);
        watch(1, list(5, false, draining("a")));
        querying.exchange.startQuerying();
        time.advance(SECOND);
        ServerList olderList = querying.inventory.applyWatchObject(
                list(4, true, running("a"), running("b")).toString());
        assertEquals("an older list keeps the stop", State.DRAINING, querying.state(A));
        assertEquals(
                List.of(State.DRAINING, State.RUNNING),
                olderList.servers().stream()
                        .sorted((x, y) -> Long.compare(x.id() == A ? 0 : 1, y.id() == A ? 0 : 1))
                        .map(Server::state)
                        .toList());
        ServerList currentList =
                querying.inventory.applyWatchObject(list(5, false).toString());
        assertEquals("the stop is lifted", State.RUNNING, querying.state(A));
        assertEquals(ListKind.WHOLE, currentList.kind());
        assertEquals(2, currentList.servers().size());
    }

    /** Guards against lists expiring while discovery is down: in a large tier each balancer alone calls it too rarely. */
    @Test
    public void unreachabilityOfDiscoveryIsForwarded() {
        startTier(100);
        seekAll();
        for (int second = 0; second < 30; second++) {
            Node detecting = nodes.get(random.nextInt(100));
            detecting.confirmation.callFailed(CallPacing.Outcome.CONNECTION_FAILED, time.now(), time.now());
            time.advance(SECOND);
        }
        nodes.forEach(node -> assertTrue(node.confirmation.isFresh(time.now())));
        time.advance(7 * SECOND);
        nodes.forEach(node -> assertFalse(node.confirmation.isFresh(time.now())));
    }

    @Test
    public void versionResetOfDiscoveryLiftsAStop() {
        startTier(2);
        Node querying = nodes.get(0);
        querying.inventory.applyWatchObject(
                list(500, true, running("a"), running("b")).toString());
        watch(1, list(501, true, running("b")));
        querying.exchange.startQuerying();
        time.advance(SECOND);
        assertEquals(State.DRAINING, querying.state(A));
        for (int i = 0; i < 3; i++) {
            querying.inventory.applyWatchObject(
                    list(3, true, running("a"), running("b")).toString());
        }
        assertEquals(3, querying.inventory.version());
        assertEquals(State.RUNNING, querying.state(A));
    }

    @Test
    public void replyWithoutAQueryIsCountedAndDropped() {
        startTier(3);
        Node node = nodes.get(0);
        node.exchange.handleDatagram(1, new ListMessage.Reply(1, 9, 0, 0, 1, List.of()).encode());
        node.exchange.handleDatagram(1, new ListMessage.NoNewerList(1, 0).encode());
        assertEquals(2, node.counters.get(Count.PEER_BAD));
        assertEquals(State.RUNNING, node.state(A));
        assertFalse(node.confirmation.isConfirmed());
    }

    @Test
    public void corruptedDatagramsAreCountedAndIgnored() {
        startTier(10);
        watch(0, list(2, true, running("a"), running("b")));
        corruption = bytes -> {
            byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            random.nextBytes(cut);
            if (cut.length > 0) {
                cut[0] = bytes[0];
            }
            return cut;
        };
        seekAll();
        time.advance(30 * SECOND);
        for (Node node : nodes) {
            assertEquals(State.RUNNING, node.state(A));
            assertEquals(node.number == 0, node.confirmation.isConfirmed());
            assertTrue(node.counters.get(Count.PEER_BAD) > 0);
        }
    }

    @Test
    public void datagramsOfTheDecisionModuleAreNotHandled() {
        startTier(2);
        byte[] decisionDatagram = new byte[45];
        decisionDatagram[0] = 1;
        assertFalse(nodes.get(0).exchange.handleDatagram(1, decisionDatagram));
        assertFalse(nodes.get(0).exchange.handleDatagram(1, new byte[0]));
    }
}
