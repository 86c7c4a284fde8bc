package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.ServerList;
import org.junit.Test;

/** Tests how the outcomes of discovery calls drive call pacing and the confirmation of the list. */
public class DiscoveryPacingTest {

    private static final String OK_HEADERS = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String REJECTED = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    private static final int BALANCERS = 100;
    private static final long SECOND = 1_000_000;

    private final ManualTime time = new ManualTime();
    private final Counters counters = new Counters();
    private final Inventory inventory = new Inventory(millis -> millis * 1000, counters);
    private final ListConfirmation confirmation = ListConfirmation.startingAt(time.now(), true);
    private final List<ServerList> events = new ArrayList<>();
    private final List<FakeLink> links = new ArrayList<>();
    private int watchLosses;
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
            new CallPacing(BALANCERS, 50, 1),
            confirmation,
            events::add);

    public DiscoveryPacingTest() {
        discovery.onWatchLost(() -> watchLosses++);
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String wholeListChunk(long index) {
        return chunk("{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[]}\n");
    }

    private FakeLink lastLink() {
        return links.get(links.size() - 1);
    }

    /** Requests a watch, waits until the call is made, and returns the delay in microseconds. */
    private long requestWatchAndAwaitCall() {
        int callsBefore = links.size();
        long since = time.now();
        discovery.watch(true);
        while (links.size() == callsBefore) {
            time.advance(1_000);
            assertTrue(time.now() - since < 60 * SECOND);
        }
        return time.now() - since;
    }

    private FakeLink establishWatch() {
        requestWatchAndAwaitCall();
        lastLink().events.opened();
        lastLink().receive(OK_HEADERS + wholeListChunk(3));
        return lastLink();
    }

    @Test
    public void watchCallIsDelayedAndARepeatedRequestStartsNoSecondCall() {
        discovery.watch(true);
        assertEquals("index 50 of 100 waits for its position", 0, links.size());
        discovery.watch(true);
        time.advance(2 * SECOND);
        assertEquals(1, links.size());
    }

    @Test
    public void cancelledWatchRequestStartsNoCall() {
        discovery.watch(true);
        discovery.watch(false);
        time.advance(10 * SECOND);
        assertEquals(0, links.size());
    }

    @Test
    public void rejectedCallsBackOff() {
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            delays.add(requestWatchAndAwaitCall());
            lastLink().events.opened();
            lastLink().receive(REJECTED);
        }
        assertTrue(delays.toString(), delays.get(0) <= 2 * SECOND);
        double mean = delays.subList(8, 40).stream()
                .mapToLong(delay -> delay)
                .average()
                .orElse(0);
        assertTrue(delays.toString(), mean > 6 * SECOND && mean < 10 * SECOND);
    }

    /** Guards against hedging a call that discovery has queued, for up to 3 s: a second one would only lengthen the queue. */
    @Test
    public void callThatMayBeQueuedIsNotHedgedEarly() {
        requestWatchAndAwaitCall();
        lastLink().events.opened();
        time.advance(3 * SECOND);
        assertEquals(1, links.size());
        time.advance(SECOND / 2);
        assertEquals("presumed dead by now", 2, links.size());
        assertFalse(links.get(0).closed);
    }

    @Test
    public void callWithoutAConnectionIsHedgedEarlier() {
        requestWatchAndAwaitCall();
        time.advance(2 * SECOND - 10_000);
        assertEquals(1, links.size());
        time.advance(20_000);
        assertEquals(2, links.size());
    }

    @Test
    public void delayedCallIsRescheduledOnceAPeerHasTheList() {
        establishWatch().events.closed();
        for (int i = 0; i < 6; i++) {
            requestWatchAndAwaitCall();
            lastLink().events.opened();
            lastLink().receive(REJECTED);
        }
        discovery.watch(true);
        int callsBefore = links.size();
        discovery.peerConfirmedList();
        time.advance(SECOND);
        assertEquals("the peers have no newer list", callsBefore, links.size());
        confirmation.recordComplete(time.now());
        discovery.peerConfirmedList();
        long since = time.now();
        while (links.size() == callsBefore) {
            time.advance(1_000);
        }
        assertTrue(time.now() - since + " us", time.now() - since <= 8 * SECOND);
        lastLink().events.opened();
        lastLink().receive(REJECTED);
        discovery.watch(true);
        callsBefore = links.size();
        discovery.peerConfirmedList();
        time.advance(SECOND / 100);
        assertEquals("at most one reschedule per lost watch", callsBefore, links.size());
    }

    @Test
    public void watchConfirmsTheListOnceItHasDeliveredIt() {
        requestWatchAndAwaitCall();
        lastLink().events.opened();
        lastLink().receive(OK_HEADERS);
        assertFalse("headers alone confirm nothing", confirmation.isConfirmed());
        lastLink().receive(wholeListChunk(3));
        assertTrue(confirmation.hasLiveWatch());
        time.advance(2 * SECOND);
        lastLink().receive(chunk("\n"));
        assertEquals("a heartbeat confirms the list", time.now(), confirmation.lastCompleteMicros());
    }

    @Test
    public void malformedLineSuspendsConfirmationUntilTheWholeListIsFetched() {
        FakeLink watch = establishWatch();
        long completeMicros = confirmation.lastCompleteMicros();
        time.advance(SECOND);
        watch.receive(chunk("nonsense\n") + chunk("\n"));
        assertEquals(completeMicros, confirmation.lastCompleteMicros());
        long requestedMicros = time.now();
        time.advance(SECOND);
        lastLink().events.opened();
        lastLink()
                .receive(
                        "HTTP/1.1 200 OK\r\nContent-Length: 42\r\n\r\n{\"index\":5,\"snapshot\":true,\"endpoints\":[]}");
        assertEquals("as of the request", requestedMicros, confirmation.lastCompleteMicros());
        watch.receive(chunk("\n"));
        assertEquals(time.now(), confirmation.lastCompleteMicros());
    }

    @Test
    public void endedOrIdleWatchNoLongerConfirmsTheList() {
        establishWatch().events.closed();
        assertFalse(confirmation.hasLiveWatch());
        assertEquals(1, watchLosses);
        establishWatch();
        time.advance(2_600_000);
        assertFalse(confirmation.hasLiveWatch());
        time.advance(9_000_000);
        assertEquals("reported once", 2, watchLosses);
        assertEquals(ListKind.FAILED, events.get(events.size() - 1).kind());
    }

    @Test
    public void failedConnectionExtendsTheUseOfTheList() {
        time.advance(5 * SECOND);
        requestWatchAndAwaitCall();
        lastLink().events.closed();
        time.advance(5 * SECOND);
        assertTrue(confirmation.isFresh(time.now()));
    }

    @Test
    public void rejectedCallAloneDoesNotExtendTheUseOfTheList() {
        requestWatchAndAwaitCall();
        lastLink().events.opened();
        time.advance(3 * SECOND);
        lastLink().receive(REJECTED);
        time.advance(4 * SECOND);
        assertFalse(confirmation.isFresh(time.now()));
    }
}
