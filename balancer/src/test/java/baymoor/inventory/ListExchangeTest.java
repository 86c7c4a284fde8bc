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
    private long sent;
    private double lost;
    private double doubled;
    private long mostDelayMicros = 5_000;
    /** Changes each datagram under way, as a test says. */
    private java.util.function.UnaryOperator<byte[]> spoil = bytes -> bytes;

    private final class Node {
        final int number;
        final Counters counters = new Counters();
        final Inventory inventory = new Inventory(millis -> millis * 1000, counters);
        final ListConfirmation confirmation = ListConfirmation.from(time.now(), true);
        final List<ServerList> told = new ArrayList<>();
        final ListExchange exchange;
        boolean hears = true;

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
                    told::add);
        }

        void deliver(int from, byte[] content) {
            if (hears) {
                assertTrue(content.length <= 256);
                exchange.heard(from, content);
            }
        }

        State state(long id) {
            return inventory.entry(id).state();
        }
    }

    private void send(int from, int to, byte[] content) {
        sent++;
        for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lost) {
                byte[] arrives = spoil.apply(content);
                time.after(
                        (long) (random.nextDouble() * mostDelayMicros),
                        () -> nodes.get(to).deliver(from, arrives));
            }
        }
    }

    private void tier(int balancers) {
        for (int i = 0; i < balancers; i++) {
            nodes.add(new Node(i, balancers));
            nodes.get(i).inventory.known(list(1, true, running("a"), running("b")));
        }
    }

    private static JSONObject list(long index, boolean whole, String... entries) {
        return new JSONObject("{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
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

    /** Tells a node by its own watch, which lives from now on. */
    private void watch(int node, JSONObject list) {
        nodes.get(node).inventory.applyWatchObject(list.toString());
        nodes.get(node).confirmation.watchHeartbeat(time.now());
    }

    private void seekAll() {
        nodes.forEach(node -> node.exchange.seek());
    }

    @Test
    public void inOrdinaryTimesNothingIsSent() {
        tier(5);
        for (int i = 0; i < 5; i++) {
            watch(i, list(1, true, running("a"), running("b")));
        }
        seekAll();
        time.pass(60 * SECOND);
        assertEquals(0, sent);
    }

    @Test
    public void oneThatIsAloneAsksNobody() {
        tier(1);
        seekAll();
        time.pass(60 * SECOND);
        assertEquals(0, sent);
    }

    @Test
    public void oneWatchServesAll() {
        for (int balancers : new int[] {2, 20, 100, 640}) {
            nodes.clear();
            tier(balancers);
            watch(0, list(2, false, draining("a")));
            seekAll();
            time.pass(2 * SECOND);
            long knows = nodes.stream().filter(n -> n.state(A) != State.RUNNING).count();
            assertTrue(balancers + " balancers: " + knows + " know", knows >= 0.99 * balancers);
            time.pass(SECOND);
            for (Node node : nodes) {
                assertEquals(State.DRAINING, node.state(A));
                assertEquals(State.RUNNING, node.state(B));
                assertTrue(node.confirmation.isConfirmed());
            }
        }
    }

    @Test
    public void oneWatchServesAllAlsoWhereDatagramsAreLostLateAndDoubled() {
        lost = 0.3;
        doubled = 0.3;
        mostDelayMicros = 150_000;
        tier(100);
        watch(0, list(2, false, draining("a")));
        seekAll();
        time.pass(5 * SECOND);
        nodes.forEach(node -> assertEquals(State.DRAINING, node.state(A)));
    }

    /** What was told is as old as it was there, and older with each hand that it went through. */
    @Test
    public void ageTravelsWithTheWord() {
        tier(20);
        watch(0, list(2, false, draining("a")));
        long watched = time.now();
        nodes.get(0).confirmation.watchLost();
        seekAll();
        time.pass(20 * SECOND);
        for (Node node : nodes) {
            assertTrue(node.confirmation.lastCompleteMicros() <= watched);
            assertFalse(node.confirmation.current(watched + 26 * SECOND));
        }
    }

    @Test
    public void askingEndsWithTheOwnWatchAndBeginsWithItsEnd() {
        tier(4);
        seekAll();
        time.pass(10 * SECOND);
        long before = sent;
        assertTrue("backs off: " + before, before <= 4 * 2 * 3 * 30);
        for (int i = 0; i < 4; i++) {
            watch(i, list(2, true, running("a")));
        }
        time.pass(2 * SECOND);
        before = sent;
        time.pass(60 * SECOND);
        assertEquals(before, sent);
        nodes.get(2).confirmation.watchLost();
        nodes.get(2).exchange.seek();
        nodes.get(2).exchange.seek();
        assertEquals("three others, once", before + 3, sent);
    }

    @Test
    public void aPeersWordBringsNobodyBack() {
        tier(2);
        Node asker = nodes.get(0);
        asker.inventory.applyWatchObject(list(2, false, draining("a")).toString());
        watch(1, list(3, false, running("a"), draining("b"), running("c")));
        asker.exchange.seek();
        time.pass(SECOND);
        assertEquals(State.DRAINING, asker.state(A));
        assertEquals(State.DRAINING, asker.state(B));
        assertEquals("nobody is added", null, asker.inventory.entry(Inventory.hash("c")));
        ServerList told = asker.told.get(0);
        assertEquals("no word of the own watch", ListKind.LAST_KNOWN, told.kind());
        assertTrue(told.servers().stream().noneMatch(s -> s.state() == State.RUNNING));
        assertEquals(1, asker.told.size());
    }

    @Test
    public void whoKnowsLessIsNotHeard() {
        tier(2);
        Node asker = nodes.get(0);
        asker.inventory.applyWatchObject(
                list(9, true, running("a"), running("b")).toString());
        watch(1, list(8, true, running("a")));
        asker.exchange.seek();
        time.pass(SECOND);
        assertEquals(State.RUNNING, asker.state(B));
        assertFalse(asker.confirmation.isConfirmed());
    }

    @Test
    public void onlyDiscoverysOwnWordLiftsAStop() {
        tier(2);
        Node asker = nodes.get(0);
        watch(1, list(5, false, draining("a")));
        asker.exchange.seek();
        time.pass(SECOND);
        ServerList older = asker.inventory.applyWatchObject(
                list(4, true, running("a"), running("b")).toString());
        assertEquals("a list from before the stop", State.DRAINING, asker.state(A));
        assertEquals(
                List.of(State.DRAINING, State.RUNNING),
                older.servers().stream()
                        .sorted((x, y) -> Long.compare(x.id() == A ? 0 : 1, y.id() == A ? 0 : 1))
                        .map(Server::state)
                        .toList());
        ServerList lifted = asker.inventory.applyWatchObject(list(5, false).toString());
        assertEquals("nothing said of it since: it runs", State.RUNNING, asker.state(A));
        assertEquals(ListKind.WHOLE, lifted.kind());
        assertEquals(2, lifted.servers().size());
    }

    /** In a large tier each calls seldom while discovery is down; what one finds must do for all. */
    @Test
    public void thatDiscoveryIsDownTravelsToo() {
        tier(100);
        seekAll();
        for (int second = 0; second < 30; second++) {
            Node finds = nodes.get(random.nextInt(100));
            finds.confirmation.callFailed(CallPacing.Outcome.CONNECTION_FAILED, time.now(), time.now());
            time.pass(SECOND);
        }
        nodes.forEach(node -> assertTrue(node.confirmation.current(time.now())));
        time.pass(7 * SECOND);
        nodes.forEach(node -> assertFalse(node.confirmation.current(time.now())));
    }

    @Test
    public void aServiceThatCountsAnewLiftsAStopToo() {
        tier(2);
        Node asker = nodes.get(0);
        asker.inventory.applyWatchObject(
                list(500, true, running("a"), running("b")).toString());
        watch(1, list(501, true, running("b")));
        asker.exchange.seek();
        time.pass(SECOND);
        assertEquals(State.DRAINING, asker.state(A));
        for (int i = 0; i < 3; i++) {
            asker.inventory.applyWatchObject(
                    list(3, true, running("a"), running("b")).toString());
        }
        assertEquals(3, asker.inventory.version());
        assertEquals(State.RUNNING, asker.state(A));
    }

    @Test
    public void anAnswerToNoQuestionIsCountedAndDropped() {
        tier(3);
        Node node = nodes.get(0);
        node.exchange.heard(1, new ListMessage.Reply(1, 9, 0, 0, 1, List.of()).encode());
        node.exchange.heard(1, new ListMessage.NoNewerList(1, 0).encode());
        assertEquals(2, node.counters.get(Count.PEER_BAD));
        assertEquals(State.RUNNING, node.state(A));
        assertFalse(node.confirmation.isConfirmed());
    }

    @Test
    public void spoiltDatagramsAreCountedAndNothingIsBelieved() {
        tier(10);
        watch(0, list(2, true, running("a"), running("b")));
        spoil = bytes -> {
            byte[] cut = Arrays.copyOf(bytes, random.nextInt(bytes.length));
            random.nextBytes(cut);
            if (cut.length > 0) {
                cut[0] = bytes[0];
            }
            return cut;
        };
        seekAll();
        time.pass(30 * SECOND);
        for (Node node : nodes) {
            assertEquals(State.RUNNING, node.state(A));
            assertEquals(node.number == 0, node.confirmation.isConfirmed());
            assertTrue(node.counters.get(Count.PEER_BAD) > 0);
        }
    }

    @Test
    public void messagesOfTheDecisionsAreLeftToThem() {
        tier(2);
        byte[] figures = new byte[45];
        figures[0] = 1;
        assertFalse(nodes.get(0).exchange.heard(1, figures));
        assertFalse(nodes.get(0).exchange.heard(1, new byte[0]));
    }
}
