package baymoor.dispatch;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.counters.Invariant;
import baymoor.inventory.Discovery;
import baymoor.link.Time;
import baymoor.north.Answer;
import baymoor.north.ClientRequest;
import baymoor.north.North;
import baymoor.north.RequestHandler;
import baymoor.peers.Peers;
import baymoor.south.Reply;
import baymoor.south.RequestContent;
import baymoor.south.South;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import merlinstep.Decisions;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AskServers;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Cancel;
import merlinstep.Decisions.CloseIdle;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.Fail;
import merlinstep.Decisions.Log;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Probe;
import merlinstep.Decisions.Probed;
import merlinstep.Decisions.Refuse;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RequestGone;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.TellPeer;
import merlinstep.Decisions.TimerFired;
import merlinstep.Decisions.WatchServers;

/**
 * Passes every event to the decision module and carries out the actions that it returns, in order. Answers each request
 * once. Not thread-safe: called on the decision thread only.
 */
public final class Dispatcher implements RequestHandler, South.Listener, Decisions.Sink {

    /** Delay before a timer is set again whose handling has failed, so that periodic work goes on. */
    private static final long TIMER_RETRY_MICROS = 50_000;

    /** A request that is not done, or that has attempts in flight. */
    private static final class OpenRequest {
        final long ticket;
        final ClientRequest request;
        int attemptCount;
        int attemptsInFlight;
        boolean done;
        /** Start of the first attempt that its host may have run, {@code Long.MAX_VALUE} without one. */
        long firstPossibleRunMicros = Long.MAX_VALUE;

        OpenRequest(long ticket, ClientRequest request) {
            this.ticket = ticket;
            this.request = request;
        }

        boolean mayHaveRun() {
            return firstPossibleRunMicros != Long.MAX_VALUE;
        }
    }

    private final Decisions decisions;
    private final Decisions.Limits limits;
    private final Map<String, RequestClass> classesByName = new HashMap<>();
    private final Time time;
    private final Counters counters;
    private final Consumer<String> log;
    /** Requests by the id that the decision module knows them by: their ticket as text. */
    private final Map<String, OpenRequest> requests = new HashMap<>();
    /** Request ids chosen by clients, of the requests in {@link #requests}. */
    private final Set<String> openClientRequestIds = new HashSet<>();

    private final FinishedIds finishedIds = new FinishedIds();
    /** Tokens of the timers that the decision module has set while handling the current event. */
    private final Set<Long> timersSetByEvent = new HashSet<>();

    private North north;
    private South south;
    private Discovery discovery;
    private Peers peers;
    /** Whether the server list is recent enough to send attempts by it. */
    private BooleanSupplier listFresh = () -> true;

    /** Creates a dispatcher; {@link #connect} must be called before the first event. */
    public Dispatcher(
            Decisions decisions,
            Decisions.Limits limits,
            List<RequestClass> requestClasses,
            Time time,
            Counters counters,
            Consumer<String> log) {
        this.decisions = decisions;
        this.limits = limits;
        requestClasses.forEach(requestClass -> classesByName.put(requestClass.name(), requestClass));
        this.time = time;
        this.counters = counters;
        this.log = log;
    }

    /** Sets the components that carry out the actions. They take this object in their constructors, so it takes them here. */
    public void connect(North north, South south, Discovery discovery, Peers peers) {
        this.north = north;
        this.south = south;
        this.discovery = discovery;
        this.peers = peers;
    }

    /** Sets the check whether the server list is fresh. While it is stale, no attempt is sent and new requests are refused. */
    public void setListFreshnessCheck(BooleanSupplier listFresh) {
        this.listFresh = listFresh;
    }

    @Override
    public void requestReceived(long ticket, ClientRequest request) {
        String requestId = Long.toString(ticket);
        requests.put(requestId, new OpenRequest(ticket, request));
        openClientRequestIds.add(request.id());
        if (!listFresh.getAsBoolean()) {
            counters.increment(Count.INVENTORY_STALE);
            answerRequest(requestId, new Answer.BackOff(0));
            return;
        }
        deliver(new Request(
                requestId,
                request.requestClass(),
                request.tenant(),
                true,
                keyNumber(request.key()),
                request.deadlineMicros(),
                request.workMicros(),
                request.size(),
                request.retry(),
                request.write()));
    }

    /** Returns the number that a key of up to 16 hexadecimal digits denotes, or a hash of any other key. */
    private static long keyNumber(String key) {
        long hash = 0xcbf29ce484222325L;
        try {
            if (key.length() <= 16 && key.charAt(0) != '+' && key.charAt(0) != '-') {
                return Long.parseUnsignedLong(key, 16);
            }
        } catch (NumberFormatException e) {
            hash = ~hash;
        }
        for (int i = 0; i < key.length(); i++) {
            hash = (hash ^ key.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    @Override
    public boolean isRequestIdInUse(String clientRequestId) {
        return openClientRequestIds.contains(clientRequestId) || finishedIds.contains(clientRequestId, time.now());
    }

    @Override
    public void requestAbandoned(long ticket) {
        OpenRequest open = requests.get(Long.toString(ticket));
        if (open != null && !open.done) {
            for (int attempt = 0; attempt < open.attemptCount; attempt++) {
                south.withdraw(Long.toString(ticket), attempt);
            }
            markDone(open);
            deliver(new RequestGone(Long.toString(ticket)));
        }
    }

    private void markDone(OpenRequest open) {
        open.done = true;
        if (open.attemptsInFlight == 0) {
            requests.remove(Long.toString(open.ticket));
            openClientRequestIds.remove(open.request.id());
            if (open.mayHaveRun() && !isSafe(open.request)) {
                finishedIds.add(open.request.id(), time.now());
            }
        }
    }

    private boolean isSafe(ClientRequest request) {
        RequestClass requestClass = classesByName.get(request.requestClass());
        return requestClass != null && requestClass.effect() == Decisions.Effect.SAFE;
    }

    @Override
    public void attemptEnded(String requestId, int attempt, long host, Reply reply, long latencyMicros) {
        OpenRequest open = requests.get(requestId);
        if (!Invariant.check(
                open != null && open.attemptsInFlight > 0, "an attempt must end once, while its request is open")) {
            return;
        }
        open.attemptsInFlight--;
        if (!reply.outcome().provesNothingRan()) {
            open.firstPossibleRunMicros = Math.min(open.firstPossibleRunMicros, time.now() - latencyMicros);
        }
        if (!open.done && reply.outcome() == Outcome.SERVED) {
            north.answer(open.ticket, new Answer.Served(reply.value()));
            open.done = true;
        }
        if (open.done) {
            markDone(open);
        }
        deliver(new AttemptEnded(
                requestId, attempt, host, reply.outcome(), latencyMicros, open.done, reply.note(), reply.report()));
    }

    @Override
    public void probeEnded(long host, Reply reply, long latencyMicros) {
        deliver(new Probed(host, reply.outcome(), latencyMicros, reply.report()));
    }

    /** Handles a change of the inventory, or a failed call for it. */
    public void serverListChanged(ServerList list) {
        south.inventoryChanged();
        deliver(list);
    }

    /** Handles a message of another balancer. */
    public void peerMessageReceived(int from, byte[] content) {
        deliver(new PeerMessage(from, content));
    }

    private void deliver(Event event) {
        counters.increment(Count.EVENTS);
        timersSetByEvent.clear();
        try {
            decisions.decide(time.now(), event, this);
        } catch (RuntimeException e) {
            // A failure of the decision module must not leave the request of this event without an answer.
            counters.increment(Count.DECISION_FAILURES);
            log.accept("decision failed on " + event.getClass().getSimpleName() + ": " + shortStackTrace(e));
            if (event instanceof Request r) {
                failRequest(r.id());
            } else if (event instanceof AttemptEnded a) {
                failRequest(a.request());
            } else if (event instanceof TimerFired t && !timersSetByEvent.contains(t.token())) {
                accept(new SetTimer(t.token(), TIMER_RETRY_MICROS));
            }
        }
    }

    private static String shortStackTrace(RuntimeException e) {
        StringBuilder text = new StringBuilder(e.toString());
        for (int i = 0; i < Math.min(5, e.getStackTrace().length); i++) {
            text.append(" at ").append(e.getStackTrace()[i]);
        }
        return text.toString();
    }

    private void failRequest(String requestId) {
        OpenRequest open = requests.get(requestId);
        if (open != null && !open.done && open.attemptsInFlight == 0) {
            accept(new Fail(requestId));
            time.schedule(0, () -> deliver(new RequestGone(requestId)));
        }
    }

    @Override
    public void accept(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof SetTimer a) {
            timersSetByEvent.add(a.token());
            time.schedule(Math.max(0, a.delayMicros()), () -> deliver(new TimerFired(a.token())));
        } else if (action instanceof Refuse a) {
            answerRequest(a.request(), new Answer.BackOff(Math.max(0, a.retryAfterMicros())));
        } else if (action instanceof Fail a) {
            answerRequest(a.request(), new Answer.Failed());
        } else if (action instanceof Cancel a) {
            south.cancel(a.request(), a.attempt());
        } else if (action instanceof TellPeer a) {
            peers.send(a.peer(), a.content());
        } else if (action instanceof WatchServers a) {
            discovery.watch(a.on());
        } else if (action instanceof AskServers) {
            discovery.fetchList();
        } else if (action instanceof Probe a) {
            south.probe(a.server());
        } else if (action instanceof CloseIdle a) {
            south.closeIdle(a.server());
        } else if (action instanceof Log a) {
            log.accept(a.text());
        }
    }

    private void send(Send action) {
        OpenRequest open = requests.get(action.request());
        if (open == null) {
            counters.increment(Count.ACTIONS_IGNORED);
            return;
        }
        long now = time.now();
        boolean concurrencyAllowed = limits.secondCopies()
                || Invariant.check(open.attemptsInFlight == 0, "attempts of one request must not overlap");
        int attempt = open.attemptCount++;
        open.attemptsInFlight++;
        if (open.attemptsInFlight == 1 && !open.done && !listFresh.getAsBoolean()) {
            counters.increment(Count.INVENTORY_STALE);
            // Answered at once, since no further attempt could be sent either.
            answerRequest(action.request(), open.mayHaveRun() ? new Answer.Failed() : new Answer.BackOff(0));
        }
        if (open.done
                || !concurrencyAllowed
                || attempt >= limits.maxAttempts()
                || now >= open.request.deadlineMicros()) {
            Reply notSent = new Reply(Outcome.NOT_SENT, null, 0, new double[0], false);
            time.schedule(0, () -> attemptEnded(action.request(), attempt, action.server(), notSent, 0));
            return;
        }
        long remainingMicros = open.request.deadlineMicros() - now;
        long timeoutMicros = action.timeoutMicros() == 0
                ? remainingMicros
                : Math.max(0, Math.min(remainingMicros, action.timeoutMicros()));
        ClientRequest request = open.request;
        south.send(
                action.request(),
                attempt,
                action.server(),
                new RequestContent(request.key(), request.id(), request.facts(), request.value()),
                now + timeoutMicros,
                () -> mayStart(open));
    }

    /**
     * Returns whether an attempt may still be sent, checked right before it is written. While it waits for a connection, its
     * client may disconnect, the list may become stale, or the window may end in which hosts drop duplicates.
     */
    private boolean mayStart(OpenRequest open) {
        RequestClass requestClass = classesByName.get(open.request.requestClass());
        boolean repeatAllowed = !open.mayHaveRun()
                || requestClass != null
                        && switch (requestClass.effect()) {
                            case SAFE -> true;
                            case KEYED -> time.now() < open.firstPossibleRunMicros + requestClass.windowMicros();
                            case UNSAFE -> false;
                        };
        return repeatAllowed && !open.done && north.isAwaited(open.ticket) && listFresh.getAsBoolean();
    }

    private void answerRequest(String requestId, Answer answer) {
        OpenRequest open = requests.get(requestId);
        if (open == null || open.done || !north.answer(open.ticket, answer)) {
            counters.increment(Count.ACTIONS_IGNORED);
            return;
        }
        markDone(open);
    }
}
