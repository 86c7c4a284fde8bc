package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import org.junit.Test;

public class InventoryTest {

    private static final String OK_HEADERS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final ManualTime time = new ManualTime();
    private final Counters counters = new Counters();
    private final Inventory inventory = new Inventory(millis -> millis * 1000 - 5_000, counters);
    private final List<ServerList> events = new ArrayList<>();
    private final List<FakeLink> links = new ArrayList<>();
    private final Discovery discovery = new Discovery(
            new InetSocketAddress("127.0.0.1", 1),
            (to, events) -> {
                FakeLink link = new FakeLink();
                link.events = events;
                links.add(link);
                return link;
            },
            time,
            inventory,
            counters,
            new CallPacing(1, 0, 1),
            ListConfirmation.notNeeded(),
            events::add);

    private static String entry(String name, String status, long sinceMillis) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:7\",\"zone\":\"a\",\"type\":\"t\",\"group\":3,"
                + "\"status\":\"" + status + "\",\"weight\":1.5,\"since_ms\":" + sinceMillis + "}";
    }

    private static String list(int index, boolean snapshot, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                + "]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private FakeLink establishWatch() {
        discovery.watch(true);
        FakeLink link = links.get(links.size() - 1);
        link.events.opened();
        link.receive(OK_HEADERS);
        return link;
    }

    private String takeEventKinds() {
        String all = events.stream().map(l -> l.kind().toString()).toList().toString();
        events.clear();
        return all;
    }

    @Test
    public void endpointsAreParsedIntoServers() {
        Server s = inventory
                .applyWatchObject(list(4, true, entry("s-a", "in_service", 9)))
                .servers()
                .get(0);
        assertEquals(new Server(Inventory.hash("s-a"), 1.5, "t", State.RUNNING, "a", 4_000, 3), s);
        assertEquals(
                0,
                inventory
                        .applyWatchObject(list(5, false, entry("s-a", "in_service", 0)))
                        .servers()
                        .get(0)
                        .startedMicros());
        assertNotEquals(Inventory.hash("s-a"), Inventory.hash("s-b"));
    }

    @Test
    public void hostAbsentFromAWholeListIsGone() {
        long a = inventory
                .applyWatchObject(list(1, true, entry("s-a", "in_service", 0)))
                .servers()
                .get(0)
                .id();
        inventory.applyWatchObject(list(2, false, entry("s-b", "terminating", 0)));
        assertEquals(State.RUNNING, inventory.entry(a).state());
        assertEquals(State.DRAINING, inventory.entry(Inventory.hash("s-b")).state());
        inventory.applyWatchObject(list(3, true, entry("s-b", "in_service", 0)));
        assertEquals(State.GONE, inventory.entry(a).state());
    }

    @Test
    public void goneHostIsForgottenOnceUnused() {
        long a = inventory
                .applyWatchObject(list(1, true, entry("s-a", "in_service", 0)))
                .servers()
                .get(0)
                .id();
        inventory.applyWatchObject(list(2, true, entry("s-b", "in_service", 0)));
        inventory.removeGoneHosts(id -> id == a);
        assertEquals(State.GONE, inventory.entry(a).state());
        inventory.removeGoneHosts(id -> false);
        assertEquals(null, inventory.entry(a));
        assertEquals(State.RUNNING, inventory.entry(Inventory.hash("s-b")).state());
    }

    @Test
    public void malformedEntryIsSkipped() {
        String malformedEntries = entry("s-b", "dancing", 0) + "," + entry("", "in_service", 0) + ",7,"
                + entry("s-c", "in_service", 0).replace("127.0.0.1:7", "somewhere:7");
        assertEquals(
                1,
                inventory
                        .applyWatchObject(list(1, true, malformedEntries, entry("s-a", "in_service", 0)))
                        .servers()
                        .size());
        assertEquals(4, counters.get(Count.INVENTORY_BAD));
    }

    @Test
    public void watchIsParsedFromFragmentsOfAnySize() {
        FakeLink link = establishWatch();
        assertTrue(link.takeWritten().startsWith("GET /v1/servers?watch=1&from=0 HTTP/1.1\r\n"));
        String text = chunk(list(1, true, entry("s-a", "in_service", 0)) + "\n")
                + chunk("\n")
                + chunk(list(2, false, entry("s-a", "terminating", 0)) + "\n");
        for (char c : text.toCharArray()) {
            link.receive(String.valueOf(c));
        }
        assertEquals("[WHOLE, CHANGES]", takeEventKinds());
        assertEquals(2, inventory.version());
    }

    @Test
    public void brokenOrIdleWatchIsReportedOnce() {
        establishWatch().events.closed();
        assertEquals("[FAILED]", takeEventKinds());
        FakeLink idleWatch = establishWatch();
        time.advance(2_400_000);
        idleWatch.receive(chunk("\n"));
        time.advance(2_400_000);
        assertEquals("[]", takeEventKinds());
        time.advance(200_000);
        idleWatch.events.closed();
        time.advance(9_000_000);
        assertEquals("[FAILED]", takeEventKinds());
        discovery.watch(true);
        links.get(2).events.opened();
        links.get(2).receive("HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("[FAILED]", takeEventKinds());
        discovery.watch(true);
        for (int i = 4; i < 6; i++) {
            links.get(links.size() - 1).events.closed();
            assertEquals("[FAILED]", takeEventKinds());
            discovery.watch(true);
            discovery.watch(true);
            assertEquals("a repeated request makes no second call", i + 1, links.size());
        }
    }

    /** Guards against a lost call that delays a change beyond the 6 s within which it is due. */
    @Test
    public void unansweredCallIsHedgedAndTheFirstAnswerCounts() {
        discovery.watch(true);
        links.get(0).events.opened();
        time.advance(1_990_000);
        assertEquals(1, links.size());
        time.advance(20_000);
        assertEquals(2, links.size());
        assertFalse("the first call stays open", links.get(0).closed);
        links.get(1).events.opened();
        links.get(1).receive(OK_HEADERS + chunk(list(1, true) + "\n"));
        assertTrue(links.get(0).closed);
        assertEquals("[WHOLE]", takeEventKinds());
        links.get(0).events.closed();
        assertEquals("[]", takeEventKinds());
        time.advance(2_400_000);
        assertEquals(2, links.size());
    }

    @Test
    public void unansweredCallsAreLimitedToTwoAtATimeAndOneEveryTwoSeconds() {
        discovery.watch(true);
        for (int second = 0; second < 60; second++) {
            time.advance(1_000_000);
            assertTrue(links.stream().filter(l -> !l.closed).count() <= 2);
        }
        assertTrue(links.size() + " calls", links.size() >= 29 && links.size() <= 31);
        FakeLink last = links.get(links.size() - 1);
        last.events.opened();
        last.receive("HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n");
        assertEquals("the other call is still pending", "[]", takeEventKinds());
        links.stream().filter(l -> !l.closed).forEach(l -> l.events.closed());
        assertEquals("[FAILED]", takeEventKinds());
        time.advance(9_000_000);
        assertEquals("no retry without a request by the decision module", "[]", takeEventKinds());
    }

    @Test
    public void idleWatchIsKeptUntilAnotherIsEstablished() {
        FakeLink idleWatch = establishWatch();
        time.advance(2_600_000);
        assertEquals("[FAILED]", takeEventKinds());
        assertFalse(idleWatch.closed);
        idleWatch.receive(chunk(list(3, false, entry("s-a", "terminating", 0)) + "\n"));
        assertEquals("[CHANGES]", takeEventKinds());
        time.advance(2_600_000);
        assertEquals("idle again, and reported again", "[FAILED]", takeEventKinds());
        time.advance(9_000_000);
        assertEquals("reported once", "[]", takeEventKinds());
        FakeLink newWatch = establishWatch();
        assertTrue(newWatch.takeWritten().contains("from=3"));
        assertTrue(idleWatch.closed);
        idleWatch.events.closed();
        assertEquals("[]", takeEventKinds());
    }

    @Test
    public void indentedObjectsAreParsed() {
        FakeLink link = establishWatch();
        String first = new org.json.JSONObject(list(7, true, entry("s-a", "in_service", 0))).toString(2);
        String second = new org.json.JSONObject(list(8, false, entry("s-a}\\\"{", "terminating", 0))).toString(0);
        String third = new org.json.JSONObject(list(9, false, entry("s-b", "in_service", 0))).toString(1);
        for (String piece : (first + "\n\n" + second + "\n" + third + "\n\n").split("(?<=\n)")) {
            link.receive(chunk(piece));
        }
        assertEquals("[WHOLE, CHANGES, CHANGES]", takeEventKinds());
        assertEquals(9, inventory.version());
        assertEquals(0, counters.get(Count.INVENTORY_BAD));
        assertEquals(1, links.size());
    }

    /** Guards against taking all further input for the rest of a truncated object. */
    @Test
    public void truncatedObjectEndsWhereTheNextBegins() {
        String changes = list(8, false, entry("s-a", "terminating", 0));
        String[] malformedTexts = {
            changes.substring(0, 20) + "\n",
            changes.substring(0, 40) + "\n",
            changes.substring(0, changes.length() - 2) + "\n",
            changes.substring(0, changes.length() - 1) + "\n\n",
            "}\n",
            "null\n",
            list(17, false) + "}\n"
        };
        FakeLink link = establishWatch();
        int version = 10;
        for (String text : malformedTexts) {
            long badBefore = counters.get(Count.INVENTORY_BAD);
            link.receive(chunk(text) + chunk(list(++version, false) + "\n"));
            assertEquals(text, version, inventory.version());
            assertEquals(text, badBefore + 1, counters.get(Count.INVENTORY_BAD));
        }
        assertEquals("the whole list is fetched", 2, links.size());
    }

    @Test
    public void addressChangeKeepsTheOldWatchUntilTheNewOneIsEstablished() {
        FakeLink oldWatch = establishWatch();
        oldWatch.receive(chunk(list(7, true, entry("s-a", "in_service", 0)) + "\n"));
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 2));
        FakeLink newWatch = links.get(1);
        newWatch.events.opened();
        assertTrue(
                newWatch.takeWritten().startsWith("GET /v1/servers?watch=1&from=7 HTTP/1.1\r\nHost: 127.0.0.1:2\r\n"));
        assertFalse(oldWatch.closed);
        oldWatch.receive(chunk(list(8, false, entry("s-a", "terminating", 0)) + "\n"));
        newWatch.receive(OK_HEADERS);
        assertTrue(oldWatch.closed);
        newWatch.receive(chunk(list(9, false, entry("s-a", "in_service", 0)) + "\n"));
        assertEquals("[WHOLE, CHANGES, CHANGES]", takeEventKinds());
        newWatch.events.closed();
        assertEquals("[FAILED]", takeEventKinds());
    }

    @Test
    public void addressChangeIsRetriedEvenIfTheOldWatchEnds() {
        FakeLink oldWatch = establishWatch();
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 2));
        links.get(1).events.closed();
        oldWatch.events.closed();
        time.advance(300_000);
        assertEquals(3, links.size());
        discovery.watch(true);
        assertEquals("the pending call is used", 3, links.size());
        links.get(2).events.opened();
        links.get(2).receive(OK_HEADERS + chunk(list(1, true) + "\n"));
        assertEquals("[WHOLE]", takeEventKinds());
        time.advance(2_400_000);
        assertEquals("[]", takeEventKinds());
    }

    @Test
    public void unsuccessfulAddressChangeIsReportedOnce() {
        establishWatch().events.closed();
        assertEquals("[FAILED]", takeEventKinds());
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 2));
        for (int i = 1; i < links.size() && i < 50; i++) {
            links.get(i).events.closed();
            time.advance(300_000);
        }
        assertEquals(21, links.size());
        assertEquals("[FAILED]", takeEventKinds());
        time.advance(9_000_000);
        assertEquals(21, links.size());
    }

    @Test
    public void malformedLinesAreSkippedAndTheListIsFetchedOnce() {
        FakeLink link = establishWatch();
        link.receive(chunk("nonsense\n") + chunk("{\"index\":\n") + chunk(list(3, false) + "\n"));
        assertEquals("[CHANGES]", takeEventKinds());
        assertEquals(2, counters.get(Count.INVENTORY_BAD));
        assertEquals("one call for both lines", 2, links.size());
        links.get(1).events.opened();
        links.get(1).receive("HTTP/1.1 200 OK\r\n\r\n" + list(4, true, entry("s-a", "in_service", 0)));
        links.get(1).events.closed();
        assertEquals(ListKind.WHOLE, events.get(0).kind());
    }
}
