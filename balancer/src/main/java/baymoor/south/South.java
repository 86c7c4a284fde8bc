package baymoor.south;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.inventory.Inventory;
import baymoor.link.Dialer;
import baymoor.link.Time;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongFunction;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.State;

/** The hosts of the south side: starts attempts, bounds their connections and time, and tells how each ended. */
public final class South {

    /** Hears how attempts and probes ended; never while one of this class's methods is being called. */
    public interface Listener {
        /** An attempt has ended; nothing of it is out any more. */
        void attemptEnded(String request, int attempt, long host, Reply reply, long latencyMicros);

        /** A probe has ended. */
        void probeEnded(long host, Reply reply, long latencyMicros);
    }

    private static final long SWEEP_MICROS = 1_000_000;
    /** A connection is given up this long before the other side may close it: a request would cross that. */
    private static final long IDLE_MARGIN_MICROS = 3_000_000;

    private static final long PROBE_MICROS = 400_000;
    private static final int STALL_PART = 4;
    private static final int MOST_CLOSING = 8;

    final Dialer dialer;
    final Time time;
    final Counters counters;
    final long connectMicros;
    /**
     * Seen: a length larger than what follows. An answer that has begun and then stops for so long is spoilt; aims
     * are little longer than the time for a connection, so only a part of that leaves time to try again.
     */
    final long stallMicros;

    private final LongFunction<Inventory.Entry> inventory;
    private final String originKind;
    private final List<String> reportFields;
    private final Listener listener;
    private final long idleMicros;
    private final int maxConnections;
    private final Map<Long, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** Hosts for which something waits: a fleet may have a thousand that nothing waits for. */
    private final Set<Host> wanted = new LinkedHashSet<>();
    /** Hosts with idle connections. */
    final Set<Host> resting = new LinkedHashSet<>();

    private boolean serving;
    int connectionCount;

    /**
     * @param originKind the kind in the inventory that marks the origin, or null
     * @param maxConnections bound of all connections together
     */
    public South(
            Dialer dialer,
            Time time,
            Counters counters,
            LongFunction<Inventory.Entry> inventory,
            String originKind,
            List<String> reportFields,
            Limits limits,
            int maxConnections,
            Listener listener) {
        this.dialer = dialer;
        this.time = time;
        this.counters = counters;
        this.inventory = inventory;
        this.originKind = originKind;
        this.reportFields = reportFields;
        this.maxConnections = maxConnections;
        this.listener = listener;
        connectMicros = limits.connectTimeoutMicros() > 0 ? limits.connectTimeoutMicros() : SWEEP_MICROS;
        stallMicros = connectMicros / STALL_PART;
        long idle = limits.idleCloseMicros() > 0 ? limits.idleCloseMicros() : Long.MAX_VALUE;
        idleMicros = Math.max(idle / 2, idle - IDLE_MARGIN_MICROS);
        time.after(SWEEP_MICROS, this::sweep);
    }

    /**
     * Starts an attempt; its end follows as an event, also where it can't even be sent.
     *
     * @param wanted asked as its bytes are about to leave, which may be long after this: whether it may still begin
     */
    public void send(
            String request,
            int attemptNumber,
            long id,
            RequestContent content,
            long untilMicros,
            BooleanSupplier wanted) {
        counters.add(Count.RELAYS);
        Attempt attempt = new Attempt(request, attemptNumber, host(id), content, time.now(), untilMicros, wanted);
        attempts.put(name(request, attemptNumber), attempt);
        start(attempt);
    }

    /** Asks a host for its load report. */
    public void probe(long id) {
        counters.add(Count.PROBES);
        start(new Attempt(null, 0, host(id), null, time.now(), time.now() + PROBE_MICROS, () -> true));
    }

    private void start(Attempt attempt) {
        if (attempt.host.address == null) { // no list has named it
            time.after(0, () -> end(attempt, Reply.without(Outcome.NOT_SENT)));
            return;
        }
        attempt.timer = time.after(attempt.untilMicros - time.now(), () -> giveUp(attempt, Outcome.TIMED_OUT));
        attempt.host.waiting.addLast(attempt);
        wanted.add(attempt.host);
        place(attempt.host);
    }

    /** Stops waiting for an attempt; its end follows. */
    public void cancel(String request, int attemptNumber) {
        Attempt attempt = attempts.get(name(request, attemptNumber));
        if (attempt != null) {
            time.after(0, () -> giveUp(attempt, Outcome.CANCELLED));
        }
    }

    /** An attempt is not wanted any more: it leaves the queue for a connection; what has begun ends by itself. */
    public void withdraw(String request, int attemptNumber) {
        Attempt attempt = attempts.get(name(request, attemptNumber));
        if (attempt != null && attempt.host.waiting.remove(attempt)) {
            time.after(0, () -> end(attempt, Reply.without(Outcome.NOT_SENT)));
        }
    }

    /** Closes what is idle at a host. */
    public void closeIdle(long id) {
        Host host = hosts.get(id);
        if (host != null) {
            host.closeIdle();
        }
    }

    /** The inventory has changed: idle connections to hosts that take nothing new are of no use. */
    public void listed() {
        for (Host host : hosts.values()) {
            if (!runs(host)) {
                host.closeIdle();
            }
        }
    }

    private boolean runs(Host host) {
        Inventory.Entry entry = inventory.apply(host.id);
        return entry != null && entry.state() == State.RUNNING;
    }

    /** Whether something is out or queued for a host, or a connection to it still open. */
    public boolean uses(long id) {
        return hosts.containsKey(id);
    }

    private void giveUp(Attempt attempt, Outcome outcome) {
        if (attempt.over) {
            return;
        }
        if (attempt.connection != null) {
            attempt.connection.giveUp(outcome);
        } else {
            attempt.host.waiting.remove(attempt);
            end(attempt, Reply.without(outcome == Outcome.TIMED_OUT ? Outcome.NOT_CONNECTED : outcome));
        }
    }

    private Host host(long id) {
        Inventory.Entry entry = inventory.apply(id);
        if (entry == null) {
            return new Host(id, this);
        }
        Host host = hosts.computeIfAbsent(id, i -> new Host(i, this));
        if (!entry.address().equals(host.address)) {
            host.closeIdle();
            host.address = entry.address();
        }
        return host;
    }

    /** Whether an attempt may still begin at a host: not where that drains or is gone by now, nor for a client that is. */
    boolean mayStart(Attempt attempt) {
        return attempt.wanted() && runs(attempt.host) && time.now() < attempt.untilMicros;
    }

    /** Finds connections for what waits at a host: idle ones first, then new ones within the bound. */
    private void place(Host host) {
        while (!host.waiting.isEmpty()) {
            HostConnection connection = host.takeIdle();
            if (connection != null) {
                connection.carry(host.waiting.pollFirst());
            } else if (connectionCount < maxConnections || evict(host)) {
                connectionCount++;
                host.connectionCount++;
                boolean origin = inventory.apply(host.id).kind().equals(originKind);
                String at = host.address.getAddress().getHostAddress() + ":" + host.address.getPort();
                Codec codec = origin ? new OriginCodec(at, reportFields) : new RouterCodec(reportFields);
                new HostConnection(this, host, codec, host.waiting.pollFirst()).dial();
            } else {
                return;
            }
        }
        wanted.remove(host);
    }

    /**
     * Makes room for a connection by closing one that is idle at another host. Until that close is through there are a
     * few connections too many. Seen: with a thousand hosts as many as there were hosts, far past the descriptors.
     */
    private boolean evict(Host wanting) {
        for (Host host : resting) {
            if (host != wanting) {
                host.idle.peekFirst().close();
                return connectionCount < maxConnections + MOST_CLOSING;
            }
        }
        return false;
    }

    /** Looks, after the present event, whether what waits can be sent. */
    void serveWaiting() {
        if (!serving && !wanted.isEmpty()) {
            serving = true;
            time.after(0, () -> {
                serving = false;
                for (Host host : List.copyOf(wanted)) {
                    if (connectionCount >= maxConnections && resting.isEmpty()) {
                        break;
                    }
                    place(host);
                }
            });
        }
    }

    /** Tells the end of an attempt, which no later event may do again. */
    void end(Attempt attempt, Reply reply) {
        if (attempt.over) {
            return;
        }
        attempt.over = true;
        if (attempt.timer != null) {
            attempt.timer.cancel();
        }
        long latency = time.now() - attempt.startedMicros;
        if (attempt.probe()) {
            listener.probeEnded(attempt.host.id, reply, latency);
            return;
        }
        attempts.remove(name(attempt.requestId, attempt.number));
        counters.add(
                switch (reply.outcome()) {
                    case SERVED -> Count.RELAYS_SERVED;
                    case MISS -> Count.RELAYS_MISS;
                    case ERROR -> Count.RELAYS_ERROR;
                    case FULL -> Count.RELAYS_FULL;
                    case TIMED_OUT -> Count.RELAYS_TIMED_OUT;
                    case NOT_CONNECTED -> Count.RELAYS_NOT_CONNECTED;
                    case RESET -> Count.RELAYS_RESET;
                    case CANCELLED -> Count.RELAYS_CANCELLED;
                    case NOT_SENT -> Count.RELAYS_NOT_SENT;
                });
        listener.attemptEnded(attempt.requestId, attempt.number, attempt.host.id, reply, latency);
    }

    private static String name(String request, int attemptNumber) {
        return attemptNumber + "/" + request;
    }

    private void sweep() {
        time.after(SWEEP_MICROS, this::sweep);
        listed();
        hosts.values().removeIf(h -> !runs(h) && h.connectionCount == 0 && h.waiting.isEmpty());
        wanted.removeIf(h -> h.waiting.isEmpty()); // what waited there was given up
        for (Host host : hosts.values()) {
            for (HostConnection connection : host.idle.toArray(new HostConnection[0])) {
                if (time.now() - connection.idleSinceMicros > idleMicros) {
                    connection.close();
                }
            }
        }
    }
}
