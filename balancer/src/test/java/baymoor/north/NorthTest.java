package baymoor.north;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Counters;
import baymoor.memory.ClientMemory;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.Before;
import org.junit.Test;

public class NorthTest {

    private final ManualTime time = new ManualTime();
    private final List<ClientRequest> received = new ArrayList<>();
    private final List<Long> abandoned = new ArrayList<>();
    private final FakeLink link = new FakeLink();
    private final North north = new North(
            time,
            new Counters(),
            Set.of("read"),
            new RequestHandler() {
                @Override
                public void requestReceived(long ticket, ClientRequest request) {
                    received.add(request);
                }

                @Override
                public void requestAbandoned(long ticket) {
                    abandoned.add(ticket);
                }

                @Override
                public boolean isRequestIdInUse(String id) {
                    return id.equals("open");
                }
            },
            2,
            200,
            new ClientMemory(6 << 20, 64),
            () -> "requests:1\n");

    @Before
    public void connect() {
        link.flushesImmediately = true;
        link.events = north.accept(link);
    }

    static String command(String... words) {
        StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            text.append("$").append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return text.toString();
    }

    private static String getCommand(String id) {
        return command("OBJ.GET", "0a", id, "c=read,t=x,d=500");
    }

    @Test
    public void nonRequestsAndInvalidRequestsAreAnsweredWithoutClosing() {
        String[][] cases = {
            {command("PING"), "+PONG\r\n"},
            {command("ping", "hi"), "$2\r\nhi\r\n"},
            {command("INFO"), "$11\r\nrequests:1\n\r\n"},
            {command("SELECT", "0"), "+OK\r\n"},
            {command("FLY"), "-ERR unknown command 'FLY'\r\n"},
            {command("OBJ.GET", "k"), "-ERR wrong number of arguments\r\n"},
            {command("OBJ.GET", "k", "i", "c=walk,d=5"), "-ERR unknown class\r\n"},
            {command("OBJ.GET", "k", "i", "c=read"), "-ERR d is missing or out of range\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=x"), "-ERR d is not a number\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=5,oops"), "-ERR malformed list of names and values\r\n"},
            {command("OBJ.GET", "k", "i\r\nX-Evil: 1", "c=read,d=5"), "-ERR malformed id\r\n"},
            {command("OBJ.GET", "", "i", "c=read,d=5"), "-ERR malformed key\r\n"},
            {command("OBJ.GET", "k", "", "c=read,d=5"), "-ERR malformed id\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=0x1p9"), "-ERR d is not a number\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=480d"), "-ERR d is not a number\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=NaN"), "-ERR d is not a number\r\n"},
            {command("OBJ.GET", "k", "i", "c=read,d=-5"), "-ERR d is missing or out of range\r\n"},
            {getCommand("open"), "-ERR id is in use\r\n"},
        };
        for (String[] c : cases) {
            link.receive(c[0]);
            assertEquals(c[0], c[1], link.takeWritten());
        }
        assertFalse(link.closed);
        assertTrue(received.isEmpty());
    }

    @Test
    public void protocolErrorIsReportedAndClosesTheConnection() {
        link.receive("GET / HTTP/1.1\r\n");
        assertEquals("-ERR Protocol error: expected '*'\r\n", link.takeWritten());
        assertTrue(link.closed);
    }

    @Test
    public void repliesAreSentOnceAndInCommandOrder() {
        link.receive(getCommand("a") + getCommand("b") + command("PING"));
        assertEquals(2, received.size());
        assertTrue(north.answer(2, new Answer.Served(new byte[] {'v'})));
        assertEquals("", link.takeWritten());
        assertTrue(north.answer(1, new Answer.BackOff(1500)));
        assertEquals("-BUSY 2\r\n$1\r\nv\r\n+PONG\r\n", link.takeWritten());
        assertFalse(north.answer(1, new Answer.Failed()));
        assertEquals("", link.takeWritten());
    }

    /** Guards against a disconnect that goes unnoticed while requests before unreadable input are open. */
    @Test
    public void afterUnreadableInputReadingGoesOnAndADisconnectAbandonsOpenRequests() {
        link.receive(getCommand("a") + "what is this\r\n");
        assertTrue(link.reading && link.discarding);
        link.receive(getCommand("b"));
        assertEquals(1, received.size());
        link.over = true;
        assertFalse(north.isAwaited(1));
        time.advance(0);
        assertEquals(List.of(1L), abandoned);
    }

    /** Guards against a heap filled by values that their clients do not read. */
    @Test
    public void valuesPastTheLimitOfUnsentRepliesFailAndRoomReturnsWhenTheyAreSent() {
        link.flushesImmediately = false;
        byte[] value = new byte[100_000];
        int kept = (1 << 20) / value.length;
        for (int i = 1; i <= kept + 3; i++) {
            link.receive(getCommand("r" + i));
            north.answer(i, new Answer.Served(value));
        }
        String replies = link.takeWritten();
        assertEquals(kept, replies.split("\\$100000\r\n", -1).length - 1);
        for (int i = 0; i < kept + 3; i++) {
            link.events.written();
        }
        link.takeWritten();
        link.receive(getCommand("later"));
        north.answer(received.size(), new Answer.Served(value));
        assertTrue(link.takeWritten().startsWith("$100000\r\n"));
    }

    @Test
    public void unansweredRequestFailsAfterItsDeadlineAndIsAbandoned() {
        link.receive(getCommand("a"));
        time.advance(520_000);
        assertEquals("-ERR failed\r\n", link.takeWritten());
        assertEquals(List.of(1L), abandoned);
        assertFalse(north.answer(1, new Answer.Failed()));
    }

    @Test
    public void openRequestsAreAbandonedOnDisconnect() {
        link.receive(getCommand("a") + getCommand("b"));
        north.answer(2, new Answer.Failed());
        link.events.closed();
        assertEquals(List.of(1L), abandoned);
    }

    @Test
    public void drainClosesConnectionsOnceTheirRequestsAreAnswered() {
        FakeLink idle = connectClient();
        idle.receive(command("PING"));
        link.receive(getCommand("a"));
        north.drain();
        assertTrue(idle.closed);
        assertFalse(link.closed);
        north.answer(1, new Answer.Failed());
        assertTrue(link.closed && north.isDrained());
    }

    @Test
    public void drainKeepsNewConnectionsUntilTheirFirstCommandIsOverdue() {
        FakeLink silent = connectClient();
        time.advance(200_000);
        north.drain();
        assertFalse(link.closed || north.isDrained());
        link.receive(getCommand("a"));
        north.answer(1, new Answer.Failed());
        assertEquals("-ERR failed\r\n", link.takeWritten());
        assertTrue(link.closed);
        assertFalse(silent.closed);
        time.advance(600_000);
        assertTrue(silent.closed && north.isDrained());
    }

    @Test
    public void clientIdleLongestIsEvictedAboveTheLimit() {
        FakeLink second = new FakeLink();
        second.events = north.accept(second);
        second.receive(command("PING"));
        link.receive(command("PING"));
        north.accept(new FakeLink());
        assertTrue(second.closed);
        assertFalse(link.closed);
    }

    private FakeLink connectClient() {
        FakeLink added = new FakeLink();
        added.flushesImmediately = true;
        added.events = north.accept(added);
        return added;
    }

    @Test
    public void missingOrIncompleteFirstCommandTimesOut() {
        FakeLink incomplete = connectClient();
        incomplete.receive("*4\r\n$7\r\nOBJ");
        time.advance(1_000_000);
        incomplete.receive(".G");
        time.advance(400_000);
        assertFalse(link.closed || incomplete.closed);
        time.advance(400_000);
        assertTrue(link.closed && incomplete.closed);
        assertEquals("-ERR no whole command in time\r\n", incomplete.takeWritten());
    }

    @Test
    public void incompleteLaterCommandTimesOut() {
        link.receive(command("PING") + "*4\r\n$7\r\n");
        link.takeWritten();
        time.advance(2_000_000);
        assertEquals("-ERR no whole command in time\r\n", link.takeWritten());
        assertTrue(link.closed);
    }

    @Test
    public void idleTimeoutIsShorterWhenCrowdedAndSparesOpenRequests() {
        link.receive(getCommand("a"));
        FakeLink idle = connectClient();
        idle.receive(command("PING"));
        time.advance(300_000);
        north.answer(1, new Answer.Failed());
        link.receive(command("OBJ.GET", "0a", "b", "c=read,t=x,d=9000"));
        time.advance(1_500_000);
        assertFalse(idle.closed);
        time.advance(700_000);
        assertTrue(idle.closed);
        time.advance(5_000_000);
        assertFalse(link.closed);
    }

    @Test
    public void inputAfterAProtocolErrorIsIgnoredAndStalledClientsAreDisconnected() {
        link.flushesImmediately = false;
        link.receive("nonsense\r\n");
        assertTrue(link.reading && link.discarding);
        link.takeWritten();
        link.receive(command("PING") + getCommand("late"));
        assertEquals("", link.takeWritten());
        assertTrue(received.isEmpty());
        link.closed = false;
        time.advance(1_300_000);
        assertTrue(link.closed);
        FakeLink stalled = connectClient();
        stalled.flushesImmediately = false;
        stalled.receive(command("PING"));
        time.advance(5_300_000);
        assertTrue(stalled.closed);
    }

    @Test
    public void newConnectionNearTheLimitEvictsAnIdleOne() {
        link.receive(command("PING"));
        FakeLink busy = connectClient();
        busy.receive(getCommand("a"));
        assertFalse("it was used a moment ago", link.closed);
        time.advance(200_000);
        FakeLink third = connectClient();
        assertTrue(link.closed);
        assertFalse(busy.closed || third.closed);
    }

    @Test
    public void clientWithAnOpenRequestIsNotEvictedAsIdle() {
        link.receive(command("PING"));
        time.advance(200_000);
        link.receive(getCommand("a"));
        connectClient();
        assertFalse("it has an open request", link.closed);
        north.answer(1, new Answer.Failed());
        time.advance(200_000);
        connectClient();
        assertTrue("it is idle again", link.closed);
    }

    @Test
    public void silentClientIsEvictedBeforeAnIdleOne() {
        link.receive(command("PING"));
        FakeLink silent = connectClient();
        time.advance(400_000);
        connectClient();
        assertTrue(silent.closed);
        assertFalse(link.closed);
    }

    /** Guards against pausing reads for unanswered commands, which would hide the disconnect. */
    @Test
    public void excessPipelinedCommandsAreRejectedInOrderAndADisconnectIsNoticed() {
        for (int i = 0; i < 5000; i++) {
            link.receive(getCommand("r" + i) + command("PING"));
        }
        assertTrue(link.reading);
        assertEquals(64, received.size());
        for (long ticket = 64; ticket >= 1; ticket--) {
            assertEquals("", link.takeWritten());
            north.answer(ticket, new Answer.Failed());
        }
        String out = link.takeWritten();
        assertEquals("-ERR failed\r\n+PONG\r\n".repeat(64) + "-BUSY 1000\r\n".repeat(10_000 - 128), out);
        link.receive(getCommand("after"));
        assertEquals("it is served again after its replies were sent", 65, received.size());
        link.events.closed();
        assertEquals(List.of(65L), abandoned);
    }

    @Test
    public void unreadRejectionsTakeBoundedMemory() {
        link.flushesImmediately = false;
        for (int i = 0; i < 400; i++) {
            link.receive(getCommand("r" + i) + command("PING").repeat(1000));
        }
        north.answer(1, new Answer.Failed());
        int unreadLength = link.takeWritten().length();
        assertTrue(unreadLength + " bytes are unsent", unreadLength < 128 * 1024 * 13);
    }

    @Test
    public void readingPausesWhileRepliesAreUnsent() {
        link.flushesImmediately = false;
        for (int i = 0; i < 20; i++) {
            link.receive(command("PING"));
        }
        assertFalse(link.reading);
        assertEquals(16 * 7, link.takeWritten().length());
        link.flushesImmediately = true;
        for (int i = 0; i < 16; i++) {
            link.events.written();
        }
        assertTrue(link.reading);
        assertEquals(4 * 7, link.takeWritten().length());
    }

    @Test
    public void connectionsOverTheLimitAreRejectedAndClosed() {
        FakeLink second = new FakeLink();
        second.events = north.accept(second);
        link.receive(getCommand("a"));
        second.receive(getCommand("b"));
        FakeLink third = new FakeLink();
        third.events = north.accept(third);
        third.receive(getCommand("c"));
        assertEquals("-BUSY 1000\r\n", third.takeWritten());
        assertTrue(third.closed);
        assertEquals(2, received.size());
    }

    /** Guards against half commands that take all places, so that requests wait unread in the listener's queue. */
    @Test
    public void halfCommandsOverTheLimitAreEvictedThoughNobodyElseIsAccepted() {
        String halfCommand = "*4\r\n$7\r\nOBJ";
        link.receive(halfCommand);
        FakeLink second = connectClient();
        second.receive(halfCommand);
        FakeLink third = connectClient();
        third.receive(halfCommand);
        time.advance(40_000);
        assertFalse(link.closed);
        time.advance(40_000);
        assertTrue(link.closed);
        assertFalse("within the limit", second.closed || third.closed);
        third.receive(".GET\r\n$2\r\n0a\r\n$1\r\nc\r\n$14\r\nc=read,t=x,d=9\r\n");
        assertEquals("it is no longer over the limit", "", third.takeWritten());
        assertEquals(1, received.size());
    }

    /** Guards against an eviction of connections that owe nothing but the rest of a command behind open requests. */
    @Test
    public void halfACommandBehindAnOpenRequestIsNotEvicted() {
        link.receive(getCommand("a") + "*4\r\n$7\r\nOBJ");
        connectClient().receive(getCommand("b"));
        connectClient();
        time.advance(200_000);
        assertFalse(link.closed);
    }

    @Test
    public void drainKeepsConnectionsWithUnreadInput() {
        link.unread = true;
        north.drain();
        assertFalse(link.closed);
        link.unread = false;
        link.receive(getCommand("a"));
        north.answer(1, new Answer.Failed());
        assertTrue(link.closed);
    }

    /** Guards against serving requests whose clients gave up while the process was suspended. */
    @Test
    public void deadlineCountsFromTheEarliestPossibleArrival() {
        time.waited = 400_000;
        link.receive(getCommand("a"));
        long remaining = received.get(0).deadlineMicros() - time.now();
        assertTrue(remaining + " us of 500 ms remain", remaining > 90_000 && remaining <= 100_000);
        time.waited = 900_000;
        link.receive(getCommand("b"));
        assertTrue(received.get(1).deadlineMicros() < time.now());
        time.waited = 0;
        link.receive(getCommand("c"));
        assertTrue(received.get(2).deadlineMicros() > time.now() + 490_000);
    }

    /** Guards against telling a router time that a client has spent in the listener's queue. */
    @Test
    public void deadlineOfAFirstRequestCountsFromTheEarliestConnect() {
        link.acceptWaitMicros = 400_000;
        link.receive(getCommand("a"));
        assertTrue(received.get(0).deadlineMicros() <= time.now() + 100_000);
        link.receive(getCommand("b"));
        assertTrue(received.get(1).deadlineMicros() > time.now() + 490_000);
    }

    @Test
    public void requestFieldsAreParsedAndTheDeadlineAllowsForNetworkDelay() {
        link.receive(command("OBJ.SET", "0a", "i", "c=read,t=x,d=500,k=77,h=1200,size=9.5,r=1", "value"));
        ClientRequest request = received.get(0);
        assertTrue(request.deadlineMicros() < time.now() + 500_000 && request.deadlineMicros() > time.now() + 490_000);
        assertTrue(request.write() && request.retry() && request.workMicros() == 1200 && request.size() == 9.5);
        assertEquals("c=read,t=x,d=500,k=77,h=1200,size=9.5,r=1", request.facts());
    }
}
