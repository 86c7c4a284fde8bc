package baymoor.south;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.inventory.Inventory;
import baymoor.memory.ClientMemory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.State;
import org.junit.Test;

public class SouthTest {

    private static final String ANSWER = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    /** Leaves 104,857 bytes for large answers. */
    private static final long HEAP_BYTES = 1 << 20;

    private static final long ROUTER = 1;
    private static final long ORIGIN = 2;

    private final ManualTime time = new ManualTime();
    private final Counters counters = new Counters();
    private final List<FakeLink> links = new ArrayList<>();
    private final List<String> ends = new ArrayList<>();
    private final Map<Long, Inventory.Entry> inventory = new HashMap<>();
    private final Set<String> disallowed = new HashSet<>();
    private final ClientMemory memory = new ClientMemory(HEAP_BYTES, 64);
    private South south = south(10);

    private South south(int maxConnections) {
        putHost(ROUTER, "two-core", State.RUNNING);
        putHost(ORIGIN, "origin", State.RUNNING);
        return new South(
                (to, events) -> {
                    FakeLink link = new FakeLink();
                    link.events = events;
                    links.add(link);
                    return link;
                },
                time,
                counters,
                inventory::get,
                "origin",
                List.of(),
                new Limits(5, 0, false, true, true, true, true, 0, 250_000, 30_000_000, 32, 0, 0),
                maxConnections,
                memory,
                new South.Listener() {
                    @Override
                    public void attemptEnded(
                            String requestId, int attempt, long host, Reply reply, long latencyMicros) {
                        String value = reply.value() == null ? "" : " " + new String(reply.value());
                        ends.add(requestId + " " + reply.outcome() + value);
                    }

                    @Override
                    public void probeEnded(long host, Reply reply, long latencyMicros) {
                        ends.add("probe " + reply.outcome());
                    }
                });
    }

    private void putHost(long id, String kind, State state) {
        inventory.put(id, new Inventory.Entry(id, new InetSocketAddress("127.0.0.1", (int) id), kind, state));
    }

    private FakeLink send(String request, long host, byte[] value) {
        int before = links.size();
        south.send(
                request,
                0,
                host,
                new RequestContent("k", request, "d=9", value),
                time.now() + 800_000,
                () -> !disallowed.contains(request));
        return links.size() > before ? links.get(before) : null;
    }

    private FakeLink sendAndWrite(String request, long host) {
        FakeLink link = send(request, host, null);
        link.events.opened();
        link.events.written();
        return link;
    }

    /** Passes the time for which a connection stays unused after an answer. */
    private void passQuietPeriod() {
        time.advance(20_000);
    }

    private String takeEnds() {
        time.advance(0);
        String all = String.join("; ", ends);
        ends.clear();
        return all;
    }

    @Test
    public void disallowedAttemptIsNotSentWhenItsConnectionOpens() {
        FakeLink link = send("r", ROUTER, null);
        disallowed.add("r");
        south.withdraw("r", 0);
        assertEquals("its connection is still opening and may carry another attempt", "", takeEnds());
        link.events.opened();
        assertEquals("", link.takeWritten());
        assertEquals("r NOT_SENT", takeEnds());
        assertFalse(link.closed);
        send("s", ROUTER, null);
        assertTrue(link.takeWritten().contains("$1\r\ns\r\n"));
        south.withdraw("s", 0);
        link.events.written();
        link.receive(ANSWER);
        assertEquals("an attempt that has been written goes on", "s SERVED v", takeEnds());
    }

    /** Guards against sending the client's whole deadline with a later attempt, when part of it has passed. */
    @Test
    public void attemptSendsTheRemainingTimeToRouterAndOrigin() {
        for (long host : new long[] {ROUTER, ORIGIN}) {
            String request = "told" + host;
            long deadlineMicros = time.now() + 800_000;
            south.send(request, 1, host, new RequestContent("k", request, "d=1400", null), deadlineMicros, () -> true);
            FakeLink link = links.get(links.size() - 1);
            time.advance(200_000);
            link.events.opened();
            String written = link.takeWritten();
            assertTrue("the time spent waiting for the connection is deducted: " + written, written.contains("d=600"));
            assertFalse(written, written.contains("d=1400"));
        }
    }

    /** Guards against reading bytes that are still queued in the link as the answer to the next attempt. */
    @Test
    public void idleConnectionWithUnreadBytesOrClosedByTheHostIsNotReused() {
        for (int i = 0; i < 2; i++) {
            FakeLink idle = sendAndWrite("a" + i, ROUTER);
            idle.receive(ANSWER);
            passQuietPeriod();
            takeEnds();
            idle.takeWritten();
            idle.unread = i == 0;
            idle.over = i == 1;
            FakeLink second = sendAndWrite("b" + i, ROUTER);
            assertEquals("", idle.takeWritten());
            assertTrue(idle.closed);
            idle.events.closed();
            second.receive(ANSWER.replace("v", "w"));
            assertEquals("b" + i + " SERVED w", takeEnds());
            second.unread = true; // so that the next iteration opens a new connection
            passQuietPeriod();
            second.events.closed();
        }
    }

    @Test
    public void withdrawnAttemptLeavesTheQueueForAConnection() {
        south = south(1);
        FakeLink link = sendAndWrite("a", ROUTER);
        send("b", ROUTER, null);
        send("c", ORIGIN, null);
        south.withdraw("b", 0);
        south.withdraw("c", 0);
        south.withdraw("unknown", 0);
        assertEquals("b NOT_SENT; c NOT_SENT", takeEnds());
        link.takeWritten();
        link.receive(ANSWER);
        passQuietPeriod();
        assertEquals("a SERVED v", takeEnds());
        assertEquals("", link.takeWritten());
        assertEquals(1, links.size());
    }

    @Test
    public void routerAnswersMapToOutcomes() {
        String[][] cases = {
            {ANSWER, "r SERVED v"},
            {"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n", "r MISS"},
            {"-BUSY\r\n", "r FULL"},
            {"-BUSY 20\r\n", "r FULL"},
            {"-ERR failed\r\n", "r ERROR"},
            {"-SYNTAX\r\n", "r ERROR"},
            {"*-1\r\n", "r ERROR"},
            {"nonsense\r\n", "r ERROR"},
            {"*1\r\n$1\r\nv\r\n", "r ERROR"},
            {"*2\r\n$1\r\nv\r\n$-1\r\n", "r ERROR"},
            {"*4\r\n$1\r\nv\r\n$-1\r\n$-1\r\n$-1\r\n", "r ERROR"},
            {"*3\r\n+v\r\n$-1\r\n$-1\r\n", "r ERROR"},
            {"*3\r\n:1\r\n$-1\r\n$-1\r\n", "r ERROR"},
            {"$1\r\nv\r\n", "r ERROR"},
            {"+PONG\r\n", "r ERROR"},
            {"*3\r\n$3000000000\r\nvvv", "r ERROR"},
            {"*3\r\n$000000000000000000000000000000", "r ERROR"},
            {"-BUSY\u0001\r\n", "r ERROR"},
            {"-BUSYBODY 3\r\n", "r ERROR"},
            {"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$5\r\n{{=,=\r\n", "r SERVED v"},
            {"*3\r\n$1\r\nv\r\n$-1\r\n:7\r\n", "r SERVED v"},
        };
        for (String[] c : cases) {
            FakeLink link = sendAndWrite("r", ROUTER);
            link.receive(c[0]);
            assertEquals(c[0], c[1], takeEnds());
            boolean reusable = !c[1].equals("r ERROR") || c[0].equals("-ERR failed\r\n") || c[0].equals("-SYNTAX\r\n");
            assertEquals(c[0], !reusable, link.closed);
            link.events.closed();
        }
    }

    @Test
    public void originResponsesMapToOutcomes() {
        String emptyBody = "Content-Length: 0\r\n\r\n";
        String[][] cases = {
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv", "r SERVED v"},
            {"HTTP/1.1 500 no\r\n" + emptyBody, "r ERROR"},
            {"HTTP/1.1 503 no\r\nX-Unprocessed: 1\r\n" + emptyBody, "r FULL"},
            {"HTTP/1.1 504 no\r\nX-Unprocessed: 1\r\n" + emptyBody, "r FULL"},
            {"HTTP/1.1 503 no\r\n" + emptyBody, "r ERROR"},
            {
                "HTTP/1.1 100 go on\r\n\r\nHTTP/1.1 102 yes\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv",
                "r SERVED v"
            },
            {"HTTP/1.1 200 OK\r\nX-Backend-Load: {{=,\r\nContent-Length: 1\r\n\r\nv", "r SERVED v"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nv", "r ERROR"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\nv", "r ERROR"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nv", "r ERROR"},
            {"HTTP/1.1 200 OK\r\nno ise: 1\r\nContent-Length: 1\r\n\r\nv", "r ERROR"},
            {"nonsense\r\n", "r ERROR"},
        };
        for (String[] c : cases) {
            FakeLink link = sendAndWrite("r", ORIGIN);
            link.receive(c[0]);
            assertEquals(c[0], c[1], takeEnds());
            link.events.closed();
        }
    }

    @Test
    public void closeBeforeTheLastByteIsNotConnectedAndAfterItIsReset() {
        send("r", ROUTER, null).events.closed();
        assertEquals("r NOT_CONNECTED", takeEnds());
        FakeLink unwritten = send("r", ROUTER, null);
        unwritten.events.opened();
        unwritten.events.closed();
        assertEquals("r NOT_CONNECTED", takeEnds());
        sendAndWrite("r", ROUTER).events.closed();
        assertEquals("r RESET", takeEnds());
    }

    @Test
    public void endIsReportedOnlyOnceTheConnectionIsClosed() {
        FakeLink link = sendAndWrite("r", ROUTER);
        time.advance(800_000);
        assertTrue(link.closed);
        assertEquals("", takeEnds());
        link.receive(ANSWER);
        link.events.closed();
        assertEquals("r TIMED_OUT", takeEnds());
        FakeLink cancelled = sendAndWrite("s", ROUTER);
        south.cancel("s", 0);
        assertEquals("", takeEnds());
        cancelled.events.closed();
        assertEquals("s CANCELLED", takeEnds());
    }

    @Test
    public void connectionThatDoesNotOpenTimesOut() {
        FakeLink link = send("r", ROUTER, null);
        time.advance(249_999);
        assertFalse(link.closed);
        time.advance(1);
        assertTrue(link.closed);
        link.events.closed();
        assertEquals("r NOT_CONNECTED", takeEnds());
    }

    @Test
    public void idleConnectionIsReusedAndClosedBeforeTheHostsIdleTimeout() {
        FakeLink link = sendAndWrite("r", ROUTER);
        link.receive(ANSWER);
        assertEquals("r SERVED v", takeEnds());
        passQuietPeriod();
        assertEquals(null, send("s", ROUTER, null));
        assertTrue(link.takeWritten().contains("$1\r\ns\r\n"));
        link.events.written();
        link.receive(ANSWER);
        time.advance(28_000_000);
        assertTrue(link.closed);
    }

    @Test
    public void unsolicitedBytesCloseTheConnectionAndAnswerNoAttempt() {
        FakeLink link = sendAndWrite("r", ROUTER);
        link.receive(ANSWER);
        takeEnds();
        link.receive(ANSWER);
        assertTrue(link.closed);
        assertEquals(1, counters.get(Count.ANSWERS_UNASKED));
        FakeLink duplicated = sendAndWrite("s", ROUTER);
        duplicated.receive(ANSWER + ANSWER);
        assertTrue(duplicated.closed);
        assertEquals("s SERVED v", takeEnds());
    }

    @Test
    public void originResponseWithoutALengthIsAnErrorWhenItsConnectionCloses() {
        FakeLink link = sendAndWrite("r", ORIGIN);
        link.receive("HTTP/1.1 200 OK\r\n\r\nv");
        link.events.closed();
        assertEquals("r ERROR", takeEnds());
    }

    /** Guards against dropping answers that only the end of their connection delimits, and against forwarding half of one. */
    @Test
    public void anEndInOrderMakesAnAnswerWithoutALengthWholeAndNoOther() {
        FakeLink whole = sendAndWrite("r", ORIGIN);
        whole.receive("HTTP/1.1 200 OK\r\n\r\nv");
        whole.events.inputEnded();
        whole.events.closed();
        assertEquals("r SERVED v", takeEnds());
        FakeLink halfOfItsLength = sendAndWrite("r", ORIGIN);
        halfOfItsLength.receive("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nv");
        halfOfItsLength.events.inputEnded();
        halfOfItsLength.events.closed();
        assertEquals("r RESET", takeEnds());
        FakeLink halfOfItsHead = sendAndWrite("r", ORIGIN);
        halfOfItsHead.receive("HTTP/1.1 200 OK\r\nX-Backend");
        halfOfItsHead.events.inputEnded();
        halfOfItsHead.events.closed();
        assertEquals("r RESET", takeEnds());
    }

    /** Guards against a heap filled by answers that hosts send at once; its budget here is 104,857 bytes. */
    @Test
    public void largeAnswersAreReadOnOnlyWithinTheirMemory() {
        String value = "v".repeat(60_000);
        String begin = "*3\r\n$60000\r\nv";
        FakeLink first = sendAndWrite("a", ROUTER);
        first.receive(begin);
        FakeLink second = sendAndWrite("b", ROUTER);
        second.receive(begin);
        FakeLink small = sendAndWrite("c", ROUTER);
        small.receive(ANSWER);
        assertEquals("c SERVED v", takeEnds());
        assertTrue(first.reading && !second.reading);
        time.advance(100_000);
        assertFalse("it is held back, it has not stalled", second.closed);
        assertTrue("nobody holds it back", first.closed);
        first.events.closed();
        assertTrue(second.reading);
        second.receive(value.substring(1) + "\r\n$-1\r\n$-1\r\n");
        assertEquals("a ERROR; b SERVED " + value, takeEnds());
        assertEquals(0, memory.held(ClientMemory.Part.HOST_ANSWERS));
    }

    @Test
    public void aLargeValueIsWrittenOnlyWithItsLastPart() {
        FakeLink link = send("r", ORIGIN, new byte[20_000]);
        link.events.opened();
        link.events.written();
        link.events.closed();
        assertEquals("r NOT_CONNECTED", takeEnds());
        link = send("s", ORIGIN, new byte[20_000]);
        link.events.opened();
        link.events.written();
        link.events.written();
        link.events.closed();
        assertEquals("s RESET", takeEnds());
    }

    @Test
    public void duplicateAnswerWithinTheQuietPeriodAnswersNoAttempt() {
        FakeLink link = sendAndWrite("a", ROUTER);
        link.receive(ANSWER);
        assertEquals("a SERVED v", takeEnds());
        time.advance(10_000);
        FakeLink other = send("b", ROUTER, null);
        assertFalse("the connection is still in its quiet period", other == null);
        link.receive(ANSWER);
        assertTrue(link.closed);
        other.events.opened();
        other.events.written();
        other.receive(ANSWER.replace("v", "w"));
        assertEquals("b SERVED w", takeEnds());
    }

    @Test
    public void unreadDuplicateAnswerAtTheEndOfTheQuietPeriodAnswersNoAttempt() {
        FakeLink link = sendAndWrite("r", ROUTER);
        link.receive(ANSWER);
        assertEquals("r SERVED v", takeEnds());
        FakeLink other = send("s", ROUTER, null);
        assertTrue("the first connection is still in its quiet period", other != null);
        link.unread = true;
        passQuietPeriod();
        assertTrue(link.closed);
        link.receive(ANSWER);
        assertEquals("", takeEnds());
    }

    @Test
    public void answerThatStallsHalfwayFailsBeforeTheDeadline() {
        FakeLink link = sendAndWrite("r", ROUTER);
        link.receive("*3\r\n$9\r\nv");
        time.advance(62_499);
        link.receive("v");
        time.advance(62_499);
        assertFalse(link.closed);
        time.advance(1);
        assertTrue(link.closed);
        link.events.closed();
        assertEquals("r ERROR", takeEnds());
        assertEquals(1, counters.get(Count.ANSWERS_STALLED));
    }

    @Test
    public void attemptIsNotSentIfItsHostStartsDrainingWhileTheConnectionOpens() {
        FakeLink link = send("r", ROUTER, null);
        putHost(ROUTER, "two-core", State.DRAINING);
        link.events.opened();
        assertEquals("", link.out.toString());
        assertEquals("r NOT_SENT", takeEnds());
    }

    @Test
    public void connectionOfAGoneHostIsNotReusedForAnotherHostAtTheSameAddress() {
        FakeLink link = sendAndWrite("r", ROUTER);
        putHost(ROUTER, "two-core", State.GONE);
        inventory.put(3L, new Inventory.Entry(3, new InetSocketAddress("127.0.0.1", 1), "two-core", State.RUNNING));
        FakeLink next = send("s", 3, null);
        assertTrue("a new connection is opened", next != null);
        time.advance(1_000_000);
        assertTrue("its attempt is still in flight", south.inUse(ROUTER));
        link.events.closed();
        time.advance(1_000_000);
        assertFalse(south.inUse(ROUTER));
        assertTrue(south.inUse(3));
    }

    @Test
    public void attemptsBeyondTheConnectionLimitWaitForAConnection() {
        south = south(1);
        FakeLink link = sendAndWrite("r", ROUTER);
        assertEquals(null, send("s", ROUTER, null));
        link.takeWritten();
        link.receive(ANSWER);
        assertEquals("r SERVED v", takeEnds());
        passQuietPeriod();
        assertTrue(link.takeWritten().contains("$1\r\ns\r\n"));
        link.events.written();
        send("t", ROUTER, null);
        time.advance(800_000);
        link.events.closed();
        assertEquals("t NOT_CONNECTED; s TIMED_OUT", takeEnds());
    }

    /** Guards against a race: the time-out fires between the write of the last byte and the event for it. */
    @Test
    public void attemptWhoseLastByteIsWrittenDuringItsTimeoutMayHaveRun() {
        FakeLink link = send("r", ORIGIN, new byte[] {1});
        link.events.opened();
        time.advance(800_000);
        assertTrue(link.closed);
        link.events.written();
        link.events.closed();
        assertEquals("r TIMED_OUT", takeEnds());
        link = send("s", ORIGIN, new byte[] {1});
        link.events.opened();
        time.advance(800_000);
        link.events.closed();
        assertEquals("s NOT_CONNECTED", takeEnds());
    }

    /** Guards against exceeding the limit by one connection per host. */
    @Test
    public void connectionsToManyHostsExceedTheLimitByAFewAtMost() {
        south = south(20);
        for (long host = 100; host < 200; host++) {
            putHost(host, "two-core", State.RUNNING);
            FakeLink link = send("r" + host, host, null);
            if (link != null) {
                link.events.opened();
                link.events.written();
                link.receive(ANSWER);
                passQuietPeriod();
            }
        }
        long open = links.size() - links.stream().filter(l -> l.closed).count();
        assertTrue(links.size() + " opened in total", links.size() <= 20 + 16);
        assertTrue(open + " open", open <= 20);
        links.stream().filter(l -> l.closed).toList().forEach(l -> l.events.closed());
        time.advance(0);
        assertTrue("completed closes make room for new connections", links.size() > 20 + 16);
    }
}
