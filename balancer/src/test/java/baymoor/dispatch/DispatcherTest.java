package baymoor.dispatch;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.inventory.Inventory;
import baymoor.memory.ClientMemory;
import baymoor.north.North;
import baymoor.peers.Peers;
import baymoor.south.South;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import merlinstep.Decisions;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.Fail;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.Refuse;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RequestGone;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.Sink;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TimerFired;
import org.junit.Test;

public class DispatcherTest {

    private static final String GET = "*4\r\n$7\r\nOBJ.GET\r\n$2\r\n0a\r\n$1\r\ni\r\n$12\r\nc=read,d=500\r\n";
    private static final String ANSWER = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";

    private final ManualTime time = new ManualTime();
    private final Counters counters = new Counters();
    private final List<Event> delivered = new ArrayList<>();
    private final List<FakeLink> links = new ArrayList<>();
    private final FakeLink client = new FakeLink();
    private final Dispatcher dispatcher;
    private final North north;

    /** Stands in for the decision module's reaction to an event. */
    private interface DecisionStub {
        void decide(Event event, Sink sink);
    }

    private DecisionStub stub = (event, sink) -> {};

    public DispatcherTest() {
        Limits limits = new Limits(2, 0, false, true, true, true, true, 0, 250_000, 30_000_000, 32, 0, 0);
        Decisions decisions = (now, event, sink) -> {
            delivered.add(event);
            stub.decide(event, sink);
        };
        dispatcher = new Dispatcher(
                decisions,
                limits,
                List.of(
                        requestClass("read", Effect.SAFE, 0),
                        requestClass("keyed", Effect.KEYED, 200_000),
                        requestClass("once", Effect.UNSAFE, 0)),
                time,
                counters,
                line -> {});
        north = new North(
                time,
                counters,
                Set.of("read", "keyed", "once"),
                dispatcher,
                9,
                9,
                new ClientMemory(6 << 20, 64),
                () -> "");
        South south = new South(
                (to, events) -> {
                    FakeLink link = new FakeLink();
                    link.events = events;
                    links.add(link);
                    return link;
                },
                time,
                counters,
                id -> id > 2
                        ? null
                        : new Inventory.Entry(id, new InetSocketAddress("127.0.0.1", 1), "t", State.RUNNING),
                "origin",
                List.of(),
                limits,
                9,
                new ClientMemory(6 << 20, 64),
                dispatcher);
        dispatcher.connect(
                north,
                south,
                null,
                new Peers(List.of(), null, null, (to, bytes) -> {}, counters, dispatcher::peerMessageReceived));
        client.events = north.accept(client);
    }

    private static RequestClass requestClass(String name, Effect effect, long dedupWindowMicros) {
        return new RequestClass(name, 500_000, 0, 900_000, effect, Group.ALL, dedupWindowMicros, 1, 0, false);
    }

    private String attemptEnds() {
        time.advance(0);
        return delivered.stream()
                .filter(e -> e instanceof AttemptEnded)
                .map(e -> (AttemptEnded) e)
                .map(e -> e.attempt() + " " + e.outcome() + (e.done() ? " done" : ""))
                .toList()
                .toString();
    }

    @Test
    public void firstServedAttemptAnswersTheClientAndEndsTheRequest() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET);
        links.get(0).events.opened();
        links.get(0).events.written();
        links.get(0).receive(ANSWER);
        assertEquals("$1\r\nv\r\n", client.takeWritten());
        assertEquals("[0 SERVED done]", attemptEnds());
    }

    @Test
    public void attemptThatCannotBeSentEndsAsNotSentAfterTheEvent() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 9, 0));
                assertEquals(
                        "[]",
                        delivered.stream()
                                .filter(e -> e instanceof AttemptEnded)
                                .toList()
                                .toString());
            } else if (event instanceof AttemptEnded e && e.attempt() < 2) {
                sink.accept(new Send(e.request(), 9, 0));
            }
        };
        client.receive(GET);
        assertEquals("[0 NOT_SENT, 1 NOT_SENT, 2 NOT_SENT]", attemptEnds());
        assertTrue(links.isEmpty());
    }

    @Test
    public void requestIsAnsweredOnlyOnce() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Refuse(r.id(), 0));
                sink.accept(new Fail(r.id()));
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET);
        assertEquals("-BUSY\r\n", client.takeWritten());
        assertTrue(links.isEmpty());
        assertEquals(2, counters.get(Count.ACTIONS_IGNORED));
    }

    /** Guards against a write that runs twice, as its client left and came again with the same id. */
    @Test
    public void anIdThatMayHaveRunIsNotAcceptedAgainForAWhile() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET.replace("c=read", "c=once"));
        links.get(0).events.opened();
        links.get(0).events.written();
        client.events.closed();
        links.get(0).receive(ANSWER);
        assertEquals("[0 SERVED done]", attemptEnds());
        FakeLink again = new FakeLink();
        again.events = north.accept(again);
        again.receive(GET.replace("c=read", "c=once"));
        assertEquals("-ERR id is in use\r\n", again.takeWritten());
        time.advance(FinishedIds.RETENTION_MICROS + 1);
        again = new FakeLink();
        again.events = north.accept(again);
        again.receive(GET.replace("c=read", "c=once"));
        assertEquals("", again.takeWritten());
    }

    @Test
    public void attemptQueuedForAConnectionIsNotSentAfterItsClientDisconnects() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET);
        client.events.closed();
        links.get(0).events.opened();
        assertEquals("", links.get(0).takeWritten());
        assertEquals("[0 NOT_SENT done]", attemptEnds());
    }

    @Test
    public void attemptIsNotSentForDisconnectedClientBeforeCloseEvent() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                client.over = true;
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET);
        links.get(0).events.opened();
        assertEquals("", links.get(0).takeWritten());
        assertEquals("[0 NOT_SENT done]", attemptEnds());
        client.receive(GET.replace("i\r", "j\r"));
        assertEquals(
                "commands read after the close are not accepted",
                1,
                delivered.stream().filter(e -> e instanceof Request).count());
    }

    /** While a disconnected client's close event is still queued, neither attempts nor a refusal are sent for it. */
    @Test
    public void attemptEndOfDisconnectedClientIsDone() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            } else if (event instanceof AttemptEnded e && !e.done()) {
                sink.accept(e.attempt() == 0 ? new Send(e.request(), 1, 0) : new Refuse(e.request(), 0));
            }
        };
        client.receive(GET);
        client.receive(GET.replace("i\r", "j\r"));
        client.over = true;
        links.get(0).events.opened();
        links.get(1).events.opened();
        assertEquals("[0 NOT_SENT done, 0 NOT_SENT done]", attemptEnds());
        client.events.closed();
        time.advance(0);
        assertEquals("", links.get(0).takeWritten() + links.get(1).takeWritten() + client.takeWritten());
        assertEquals(2, counters.get(Count.REQUESTS_GONE));
        assertEquals(0, counters.get(Count.REFUSED));
        assertEquals(1, counters.get(Count.CLIENTS_CLOSED));
        assertEquals(
                List.of(Request.class, Request.class, RequestGone.class, RequestGone.class),
                delivered.stream()
                        .filter(e -> !(e instanceof AttemptEnded))
                        .map(Object::getClass)
                        .toList());
    }

    /** A retry that waits for a connection is not sent after the routers' deduplication window. */
    @Test
    public void retryIsSentOnlyIfItsClassAllowsIt() {
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            } else if (event instanceof AttemptEnded e && !e.done() && e.attempt() == 0) {
                sink.accept(new Send(e.request(), 2, 0));
            }
        };
        String[][] cases = {
            {"read", "250000", "sent"}, {"keyed", "150000", "sent"}, {"keyed", "250000", ""}, {"once", "0", ""}
        };
        for (String[] c : cases) {
            int firstLink = links.size();
            String get = GET.replace("12\r\nc=read", c[0].length() + 8 + "\r\nc=" + c[0]);
            client.receive(get.replace("\r\ni\r\n", "\r\n" + firstLink + "\r\n"));
            links.get(firstLink).events.opened();
            links.get(firstLink).events.written();
            links.get(firstLink).events.closed();
            time.advance(Long.parseLong(c[1]) - 1);
            FakeLink second = links.get(firstLink + 1);
            second.events.opened();
            assertEquals(
                    c[0] + " after " + c[1],
                    !c[2].isEmpty(),
                    !second.takeWritten().isEmpty());
            second.events.written();
            second.events.closed();
            client.events.closed();
            client.events = north.accept(client);
            time.advance(0);
        }
    }

    @Test
    public void decisionExceptionFailsTheRequestAndIsCounted() {
        stub = (event, sink) -> {
            throw new IllegalStateException("thrown by the test");
        };
        client.receive(GET);
        assertEquals("-ERR failed\r\n", client.takeWritten());
        dispatcher.accept(new SetTimer(7, 1000));
        time.advance(200_000);
        assertTrue(
                "the timer is set again",
                delivered.stream().filter(e -> e instanceof TimerFired).count() > 2);
        assertTrue(counters.get(Count.DECISION_FAILURES) > 2);
    }

    @Test
    public void requestIsRejectedAtOnceWhileTheListIsStale() {
        dispatcher.setListFreshnessCheck(() -> false);
        client.receive(GET);
        assertEquals("-BUSY\r\n", client.takeWritten());
        time.advance(2_000_000);
        assertEquals("the decision module gets no event", List.of(), delivered);
        assertEquals(1, counters.get(Count.REFUSED));
    }

    /** Retries couldn't be sent either, so the client gets its answer at once. */
    @Test
    public void attemptRequestedWhileTheListIsStaleEndsTheRequest() {
        boolean[] listFresh = {true};
        dispatcher.setListFreshnessCheck(() -> listFresh[0]);
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new SetTimer(Long.parseLong(r.id()), 100_000));
            } else if (event instanceof TimerFired t) {
                sink.accept(new Send(Long.toString(t.token()), 1, 0));
            }
        };
        client.receive(GET);
        listFresh[0] = false;
        time.advance(100_000);
        assertEquals("-BUSY\r\n", client.takeWritten());
        assertEquals("[0 NOT_SENT done]", attemptEnds());
        assertTrue(links.isEmpty());
        assertEquals(0, counters.get(Count.ACTIONS_IGNORED));
    }

    @Test
    public void requestThatMayHaveRunFailsOnceTheListIsStale() {
        boolean[] listFresh = {true};
        dispatcher.setListFreshnessCheck(() -> listFresh[0]);
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            } else if (event instanceof AttemptEnded e && !e.done()) {
                sink.accept(new Send(e.request(), 2, 0));
            }
        };
        client.receive(GET);
        links.get(0).events.opened();
        links.get(0).events.written();
        listFresh[0] = false;
        links.get(0).events.closed();
        time.advance(0);
        String answer = client.takeWritten();
        assertTrue(answer, answer.startsWith("-") && !answer.startsWith("-BUSY"));
        assertEquals("[0 RESET, 1 NOT_SENT done]", attemptEnds());
        assertEquals(1, links.size());
    }

    @Test
    public void attemptQueuedForAConnectionIsNotSentOnceTheListIsStale() {
        boolean[] listFresh = {true};
        dispatcher.setListFreshnessCheck(() -> listFresh[0]);
        stub = (event, sink) -> {
            if (event instanceof Request r) {
                sink.accept(new Send(r.id(), 1, 0));
            }
        };
        client.receive(GET);
        listFresh[0] = false;
        links.get(0).events.opened();
        assertEquals("", links.get(0).takeWritten());
        assertEquals("[0 NOT_SENT]", attemptEnds());
    }
}
