package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import org.junit.Test;

/** Tests the continuous watch on an agent that lists are pushed to, and the handling of malformed lists. */
public class ContinuousWatchTest {

    private static final long GRACE_MICROS = 250_000;

    private final ManualTime time = new ManualTime();
    private final Counters counters = new Counters();
    private final Inventory inventory = new Inventory(millis -> millis * 1000, counters);
    private final List<ServerList> events = new ArrayList<>();
    private final List<FakeLink> links = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Discovery discovery = new Discovery(
            new InetSocketAddress("127.0.0.1", 1),
            (to, events) -> {
                FakeLink link = new FakeLink();
                link.events = events;
                links.add(link);
                ports.add(to.getPort());
                return link;
            },
            time,
            inventory,
            counters,
            new CallPacing(1, 0, 1),
            ListConfirmation.notNeeded(),
            events::add);

    private static String entry(String name, String status) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:7\",\"status\":\"" + status + "\"}";
    }

    private static String list(int index, boolean snapshot, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[" + String.join(",", entries)
                + "]}";
    }

    private FakeLink lastLink() {
        return links.get(links.size() - 1);
    }

    private static void sendLine(FakeLink link, String text) {
        link.receive(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
    }

    private FakeLink acceptLastCall() {
        FakeLink link = lastLink();
        link.events.opened();
        link.receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        return link;
    }

    private FakeLink attend(String... entries) {
        discovery.watchContinuously(GRACE_MICROS);
        FakeLink link = acceptLastCall();
        sendLine(link, list(10, true, entries));
        return link;
    }

    private State state(String name) {
        return inventory.entry(Inventory.hash(name)).state();
    }

    private String lastEventKind() {
        return events.get(events.size() - 1).kind().toString();
    }

    @Test
    public void endedWatchIsReopenedAtOnceFromTheVersionHeld() {
        FakeLink link = attend(entry("s-a", "in_service"));
        time.advance(2_000_000);
        link.events.closed();
        time.advance(0);
        assertEquals(2, links.size());
        assertTrue(lastLink().takeWritten().isEmpty());
        lastLink().events.opened();
        assertTrue(lastLink().takeWritten().contains("watch=1&from=10"));
        assertEquals("no failure is reported", 1, events.size());
    }

    @Test
    public void unreachableAgentIsRetriedWithinTheGraceAndAtABoundedRate() {
        discovery.watchContinuously(GRACE_MICROS);
        int seconds = 600;
        for (long end = time.now() + seconds * 1_000_000L; time.now() < end; ) {
            lastLink().events.closed();
            int callsBefore = links.size();
            long from = time.now();
            while (links.size() == callsBefore) {
                time.advance(1_000);
            }
            assertTrue("retried within half of the grace", time.now() - from <= GRACE_MICROS / 2);
        }
        assertTrue(links.size() + " calls", links.size() < seconds * 9);
        sendLine(acceptLastCall(), list(3, true, entry("s-a", "terminating")));
        assertEquals(State.DRAINING, state("s-a"));
    }

    @Test
    public void repeatedlyEndingWatchIsReopenedAtABoundedRate() {
        attend(entry("s-a", "in_service"));
        for (int i = 0; i < 1_000; i++) {
            lastLink().events.closed();
            time.advance(10_000);
            if (!lastLink().closed) {
                acceptLastCall();
            }
        }
        assertTrue(links.size() + " calls in 10 s", links.size() < 100);
    }

    @Test
    public void idleWatchIsKeptUntilAnotherIsEstablished() {
        FakeLink oldWatch = attend(entry("s-a", "in_service"));
        for (int i = 0; i < 20; i++) {
            time.advance(1_000_000);
        }
        assertFalse("an idle agent may be cut off from discovery", oldWatch.closed);
        assertTrue("further calls were made", links.size() > 4);
        sendLine(oldWatch, list(11, false, entry("s-a", "terminating")));
        assertEquals(State.DRAINING, state("s-a"));
        FakeLink newWatch = acceptLastCall();
        assertTrue(oldWatch.closed);
        sendLine(newWatch, list(12, false, entry("s-a", "terminated")));
        assertEquals(State.GONE, state("s-a"));
    }

    @Test
    public void addressChangeKeepsTheOldWatchUntilTheNewAgentAnswers() {
        FakeLink oldWatch = attend(entry("s-a", "in_service"));
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 2));
        for (int i = 0; i < 100; i++) {
            lastLink().events.closed();
            time.advance(GRACE_MICROS / 2);
        }
        assertFalse(oldWatch.closed);
        sendLine(oldWatch, list(11, false, entry("s-a", "terminating")));
        assertEquals(State.DRAINING, state("s-a"));
        acceptLastCall();
        assertTrue(oldWatch.closed);
        assertEquals(2, (int) ports.get(ports.size() - 1));
    }

    @Test
    public void addressChangeWithoutAWatchCallsTheNewAgentAtOnce() {
        discovery.watchContinuously(GRACE_MICROS);
        lastLink().events.closed();
        discovery.changeAddress(new InetSocketAddress("127.0.0.1", 2));
        assertEquals(List.of(1, 2), ports);
    }

    @Test
    public void olderListIsCountedAndTheWholeListFetched() {
        FakeLink link = attend(entry("s-a", "terminating"));
        sendLine(link, list(9, false, entry("s-a", "in_service")));
        assertEquals("an older list does not undo a drain", State.DRAINING, state("s-a"));
        assertEquals(1, counters.get(Count.INVENTORY_BAD));
        assertEquals(2, links.size());
        lastLink().events.opened();
        assertTrue(lastLink().takeWritten().startsWith("GET /v1/servers HTTP"));
        lastLink().receive("HTTP/1.1 200 OK\r\n\r\n" + list(12, true, entry("s-b", "in_service")));
        lastLink().events.closed();
        assertEquals(State.GONE, state("s-a"));
        assertEquals(State.RUNNING, state("s-b"));
    }

    @Test
    public void repeatedOlderWholeListIsAcceptedAsAReset() {
        FakeLink link = attend(entry("s-a", "in_service"));
        sendLine(link, list(2, true, entry("s-b", "in_service")));
        sendLine(link, list(2, true, entry("s-b", "in_service")));
        assertEquals(State.RUNNING, state("s-a"));
        sendLine(link, list(2, true, entry("s-b", "in_service")));
        assertEquals(State.GONE, state("s-a"));
        assertEquals(2, inventory.version());
    }

    @Test
    public void repeatedLineChangesNothing() {
        FakeLink link = attend(entry("s-a", "in_service"));
        for (int i = 0; i < 2; i++) {
            sendLine(link, list(11, false, entry("s-a", "terminating")));
            assertEquals(State.DRAINING, state("s-a"));
        }
        assertEquals(0, counters.get(Count.INVENTORY_BAD));
    }

    @Test
    public void duplicateEntryTakesTheStateCloserToRemoval() {
        FakeLink link = attend(entry("s-a", "in_service"), entry("s-b", "in_service"));
        sendLine(link, list(11, false, entry("s-a", "terminating"), entry("s-a", "in_service")));
        assertEquals(State.DRAINING, state("s-a"));
        assertEquals(1, events.get(events.size() - 1).servers().size());
        assertEquals("the whole list is fetched", 2, links.size());
    }

    @Test
    public void wholeListWithAMalformedEntryRemovesHostsOnlyWhenRepeated() {
        FakeLink link = attend(entry("s-a", "in_service"), entry("s-b", "in_service"));
        String malformed = list(11, true, entry("s-a", "terminating"), "{\"name\":\"s-\u00ff\"}");
        sendLine(link, malformed);
        assertEquals("CHANGES", lastEventKind());
        assertEquals(State.DRAINING, state("s-a"));
        assertEquals(State.RUNNING, state("s-b"));
        lastLink().events.opened();
        lastLink().receive("HTTP/1.1 200 OK\r\n\r\n" + malformed);
        lastLink().events.closed();
        assertEquals("WHOLE", lastEventKind());
        assertEquals(State.GONE, state("s-b"));
        time.advance(1_000_000);
        assertEquals("fetched once", 2, links.size());
    }

    @Test
    public void unfinishedLineCountsAsIdle() {
        FakeLink link = attend(entry("s-a", "in_service"));
        link.receive("fffff\r\n");
        for (int i = 0; i < 40; i++) {
            link.receive("{\"index\"");
            time.advance(100_000);
        }
        assertEquals("another watch call was made", 2, links.size());
    }

    @Test
    public void failedListCallIsRetriedUntilItIsAnswered() {
        FakeLink link = attend(entry("s-a", "in_service"));
        sendLine(link, "nonsense");
        for (int i = 0; i < 5; i++) {
            lastLink().events.closed();
            time.advance(GRACE_MICROS / 2);
        }
        assertEquals(7, links.size());
        lastLink().events.opened();
        lastLink().receive("HTTP/1.1 200 OK\r\n\r\n" + list(11, true, entry("s-a", "terminating")));
        lastLink().events.closed();
        time.advance(10_000);
        assertEquals(State.DRAINING, state("s-a"));
        assertEquals(7, links.size());
    }
}
