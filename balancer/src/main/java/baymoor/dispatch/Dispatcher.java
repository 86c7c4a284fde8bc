package baymoor.dispatch;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.counters.Invariant;
import baymoor.inventory.Discovery;
import baymoor.link.Time;
import baymoor.north.Answer;
import baymoor.north.Intake;
import baymoor.north.North;
import baymoor.north.Taken;
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

/** Stands between the decisions and all else: hands them every event and carries out what they order, in order. */
public final class Dispatcher implements Intake, South.Listener, Decisions.Sink {

    /** Where the decisions fail on a timer, it comes again after this long, or their clockwork would stand still. */
    private static final long TIMER_AGAIN_MICROS = 50_000;

    /** A request that the decisions know of, or one of whose attempts is still out. */
    private static final class Open {
        final long ticket;
        final Taken taken;
        int attempts;
        int out;
        boolean done;
        /** When the first attempt that may have run was ordered. */
        long ranMicros = Long.MAX_VALUE;

        Open(long ticket, Taken taken) {
            this.ticket = ticket;
            this.taken = taken;
        }
    }

    private final Decisions decisions;
    private final Decisions.Limits limits;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Time time;
    private final Counters counters;
    private final Consumer<String> log;
    private final Map<String, Open> requests = new HashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<Long> timersSet = new HashSet<>();
    private North north;
    private South south;
    private Discovery discovery;
    private Peers peers;
    /** Whether the list held may still be used. */
    private BooleanSupplier listCurrent = () -> true;

    public Dispatcher(
            Decisions decisions,
            Decisions.Limits limits,
            List<RequestClass> kinds,
            Time time,
            Counters counters,
            Consumer<String> log) {
        this.decisions = decisions;
        this.limits = limits;
        kinds.forEach(kind -> classes.put(kind.name(), kind));
        this.time = time;
        this.counters = counters;
        this.log = log;
    }

    /** Names the parts that carry the actions out; they hear of this object before it can know of them. */
    public void connect(North clients, South hosts, Discovery inventory, Peers others) {
        north = clients;
        south = hosts;
        discovery = inventory;
        peers = others;
    }

    /** Attempts begin only while this holds; requests are turned away at once meanwhile. */
    public void beginOnlyWhile(BooleanSupplier condition) {
        listCurrent = condition;
    }

    @Override
    public void taken(long ticket, Taken t) {
        String id = Long.toString(ticket);
        requests.put(id, new Open(ticket, t));
        ids.add(t.id());
        if (!listCurrent.getAsBoolean()) {
            end(id, new Answer.BackOff(0));
            return;
        }
        deliver(new Request(
                id,
                t.requestClass(),
                t.tenant(),
                true,
                key(t.key()),
                t.deadlineMicros(),
                t.workMicros(),
                t.size(),
                t.retry(),
                t.write()));
    }

    /** A key of up to 16 hex digits is the number it writes; any other one is hashed. */
    private static long key(String key) {
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
    public boolean open(String id) {
        return ids.contains(id);
    }

    @Override
    public void gone(long ticket) {
        Open r = requests.get(Long.toString(ticket));
        if (r != null && !r.done) {
            for (int attempt = 0; attempt < r.attempts; attempt++) {
                south.withdraw(Long.toString(ticket), attempt);
            }
            finish(r);
            deliver(new RequestGone(Long.toString(ticket)));
        }
    }

    private void finish(Open r) {
        r.done = true;
        if (r.out == 0) {
            requests.remove(Long.toString(r.ticket));
            ids.remove(r.taken.id());
        }
    }

    @Override
    public void attemptEnded(String request, int attempt, long host, Reply reply, long latencyMicros) {
        Open r = requests.get(request);
        if (!Invariant.check(r != null && r.out > 0, "an attempt ends once, before its request is forgotten")) {
            return;
        }
        r.out--;
        if (!reply.outcome().provesNothingRan()) {
            r.ranMicros = Math.min(r.ranMicros, time.now() - latencyMicros);
        }
        if (!r.done && reply.outcome() == Outcome.SERVED) {
            north.answer(r.ticket, new Answer.Served(reply.value()));
            r.done = true;
        }
        if (r.done) {
            finish(r);
        }
        deliver(new AttemptEnded(
                request, attempt, host, reply.outcome(), latencyMicros, r.done, reply.note(), reply.report()));
    }

    @Override
    public void probeEnded(long host, Reply reply, long latencyMicros) {
        deliver(new Probed(host, reply.outcome(), latencyMicros, reply.report()));
    }

    /** The inventory has changed, or a call for it has failed. */
    public void listed(ServerList list) {
        south.listed();
        deliver(list);
    }

    /** Another balancer has sent a message. */
    public void heard(int from, byte[] content) {
        deliver(new PeerMessage(from, content));
    }

    private void deliver(Event event) {
        counters.add(Count.EVENTS);
        timersSet.clear();
        try {
            decisions.decide(time.now(), event, this);
        } catch (RuntimeException e) {
            // The balancer outlives a failure of its decisions: what the event was about is answered all the same.
            counters.add(Count.DECISION_FAILURES);
            log.accept("decision failed on " + event.getClass().getSimpleName() + ": " + trace(e));
            if (event instanceof Request r) {
                abandon(r.id());
            } else if (event instanceof AttemptEnded a) {
                abandon(a.request());
            } else if (event instanceof TimerFired t && !timersSet.contains(t.token())) {
                accept(new SetTimer(t.token(), TIMER_AGAIN_MICROS));
            }
        }
    }

    private static String trace(RuntimeException e) {
        StringBuilder text = new StringBuilder(e.toString());
        for (int i = 0; i < Math.min(5, e.getStackTrace().length); i++) {
            text.append(" at ").append(e.getStackTrace()[i]);
        }
        return text.toString();
    }

    private void abandon(String id) {
        Open r = requests.get(id);
        if (r != null && !r.done && r.out == 0) {
            accept(new Fail(id));
            time.after(0, () -> deliver(new RequestGone(id)));
        }
    }

    @Override
    public void accept(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof SetTimer a) {
            timersSet.add(a.token());
            time.after(Math.max(0, a.delayMicros()), () -> deliver(new TimerFired(a.token())));
        } else if (action instanceof Refuse a) {
            end(a.request(), new Answer.BackOff(Math.max(0, a.retryAfterMicros())));
        } else if (action instanceof Fail a) {
            end(a.request(), new Answer.Failed());
        } else if (action instanceof Cancel a) {
            south.cancel(a.request(), a.attempt());
        } else if (action instanceof TellPeer a) {
            peers.tell(a.peer(), a.content());
        } else if (action instanceof WatchServers a) {
            discovery.watch(a.on());
        } else if (action instanceof AskServers) {
            discovery.ask();
        } else if (action instanceof Probe a) {
            south.probe(a.server());
        } else if (action instanceof CloseIdle a) {
            south.closeIdle(a.server());
        } else if (action instanceof Log a) {
            log.accept(a.text());
        }
    }

    private void send(Send a) {
        Open r = requests.get(a.request());
        if (r == null) {
            counters.add(Count.ACTIONS_IGNORED);
            return;
        }
        long now = time.now();
        boolean alone =
                limits.secondCopies() || Invariant.check(r.out == 0, "no two attempts of one request are out together");
        int attempt = r.attempts++;
        r.out++;
        if (r.out == 1 && !r.done && !listCurrent.getAsBoolean()) {
            // Answered now: each further attempt would be turned away like this one.
            end(a.request(), r.ranMicros == Long.MAX_VALUE ? new Answer.BackOff(0) : new Answer.Failed());
        }
        if (r.done || !alone || attempt >= limits.maxAttempts() || now >= r.taken.deadlineMicros()) {
            Reply unsent = new Reply(Outcome.NOT_SENT, null, 0, new double[0], false);
            time.after(0, () -> attemptEnded(a.request(), attempt, a.server(), unsent, 0));
            return;
        }
        long most = r.taken.deadlineMicros() - now;
        long wait = a.timeoutMicros() == 0 ? most : Math.max(0, Math.min(most, a.timeoutMicros()));
        Taken t = r.taken;
        south.send(
                a.request(),
                attempt,
                a.server(),
                new RequestContent(t.key(), t.id(), t.facts(), t.value()),
                now + wait,
                () -> mayBegin(r));
    }

    /**
     * Whether an attempt may still begin, asked as its bytes are about to leave. Danger: between the order and that moment,
     * while it waits for a connection, its client may leave, or the time end for which a repeat does no harm.
     */
    private boolean mayBegin(Open r) {
        RequestClass kind = classes.get(r.taken.requestClass());
        boolean ran = r.ranMicros != Long.MAX_VALUE;
        boolean harmless = !ran
                || kind != null
                        && switch (kind.effect()) {
                            case SAFE -> true;
                            case KEYED -> time.now() < r.ranMicros + kind.windowMicros();
                            case UNSAFE -> false;
                        };
        return harmless && !r.done && north.waits(r.ticket) && listCurrent.getAsBoolean();
    }

    private void end(String id, Answer answer) {
        Open r = requests.get(id);
        if (r == null || r.done || !north.answer(r.ticket, answer)) {
            counters.add(Count.ACTIONS_IGNORED);
            return;
        }
        finish(r);
    }
}
