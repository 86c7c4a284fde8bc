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

/** The south side: sends attempts to hosts, bounds their connections and time, and reports how each of them ended. */
public final class South {

    /** Is told how attempts and probes ended; never from within a call to a method of this class. */
    public interface Listener {
        /** An attempt has ended, and nothing of it can reach the host any more. */
        void attemptEnded(String request, int attempt, long host, Reply reply, long latencyMicros);

        /** A probe has ended. */
        void probeEnded(long host, Reply reply, long latencyMicros);
    }

    private static final long SWEEP_MICROS = 1_000_000;
    /** An idle connection is closed this long before the host may close it, since a request could cross the host's close. */
    private static final long IDLE_MARGIN_MICROS = 3_000_000;

    private static final long PROBE_MICROS = 400_000;
    private static final int STALL_PART = 4;
    private static final int MOST_CLOSING = 8;

    final Dialer dialer;
    final Time time;
    final Counters counters;
    final long connectMicros;
    /**
     * An answer that has begun and then pauses for this long fails: hosts have been observed to announce more bytes than they
     * send. The aims of requests are little longer than the connect time-out, so a part of it leaves time for another attempt.
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
    /** Hosts with attempts that wait for a connection; kept apart, as a fleet may have a thousand hosts without any. */
    private final Set<Host> hostsWithWaiting = new LinkedHashSet<>();
    /** Hosts with idle connections. */
    final Set<Host> hostsWithIdle = new LinkedHashSet<>();

    private boolean servingScheduled;
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
     * Starts an attempt. Its end is always reported to the listener, also if it can't be sent.
     *
     * @param wanted whether the attempt may still begin, asked right before it is written, which may be much later
     */
    public void send(
            String request,
            int attemptNumber,
            long id,
            RequestContent content,
            long deadlineMicros,
            BooleanSupplier wanted) {
        counters.add(Count.RELAYS);
        Attempt attempt = new Attempt(request, attemptNumber, host(id), content, time.now(), deadlineMicros, wanted);
        attempts.put(key(request, attemptNumber), attempt);
        start(attempt);
    }

    /** Asks a host for its load report, or for a sign of life. */
    public void probe(long id) {
        counters.add(Count.PROBES);
        start(new Attempt(null, 0, host(id), null, time.now(), time.now() + PROBE_MICROS, () -> true));
    }

    private void start(Attempt attempt) {
        if (attempt.host.address == null) { // no list has named it
            time.after(0, () -> end(attempt, Reply.without(Outcome.NOT_SENT)));
            return;
        }
        attempt.timer = time.after(attempt.deadlineMicros - time.now(), () -> abort(attempt, Outcome.TIMED_OUT));
        attempt.host.waiting.addLast(attempt);
        hostsWithWaiting.add(attempt.host);
        place(attempt.host);
    }

    /** Aborts an attempt. Its end is reported to the listener. */
    public void cancel(String request, int attemptNumber) {
        Attempt attempt = attempts.get(key(request, attemptNumber));
        if (attempt != null) {
            time.after(0, () -> abort(attempt, Outcome.CANCELLED));
        }
    }

    /** Removes an attempt from the queue for a connection; one that has been written goes on. */
    public void withdraw(String request, int attemptNumber) {
        Attempt attempt = attempts.get(key(request, attemptNumber));
        if (attempt != null && attempt.host.waiting.remove(attempt)) {
            time.after(0, () -> end(attempt, Reply.without(Outcome.NOT_SENT)));
        }
    }

    /** Closes the idle connections to a host. */
    public void closeIdle(long id) {
        Host host = hosts.get(id);
        if (host != null) {
            host.closeIdle();
        }
    }

    /** The inventory has changed: closes idle connections to hosts that take no new requests. */
    public void inventoryChanged() {
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

    /** Whether a host has attempts that are sent or queued, or open connections. */
    public boolean inUse(long id) {
        return hosts.containsKey(id);
    }

    private void abort(Attempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        if (attempt.connection != null) {
            attempt.connection.abort(outcome);
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

    /** Whether an attempt may still be sent: its request needs it, its host takes requests, and its deadline has not passed. */
    boolean mayBegin(Attempt attempt) {
        return attempt.wanted() && runs(attempt.host) && time.now() < attempt.deadlineMicros;
    }

    /** Assigns connections to the attempts that wait for a host: idle ones first, then new ones within the bound. */
    private void place(Host host) {
        while (!host.waiting.isEmpty()) {
            HostConnection connection = host.takeIdle();
            if (connection != null) {
                connection.assign(host.waiting.pollFirst());
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
        hostsWithWaiting.remove(host);
    }

    /**
     * Makes room for a connection by closing an idle one of another host. Until that close has completed the bound is exceeded;
     * by how much is limited, as a thousand hosts once held as many surplus connections, far more than there are descriptors.
     */
    private boolean evict(Host wanting) {
        for (Host host : hostsWithIdle) {
            if (host != wanting) {
                host.idle.peekFirst().close();
                return connectionCount < maxConnections + MOST_CLOSING;
            }
        }
        return false;
    }

    /** Assigns connections to all waiting attempts, after the current event has been handled. */
    void serveWaiting() {
        if (!servingScheduled && !hostsWithWaiting.isEmpty()) {
            servingScheduled = true;
            time.after(0, () -> {
                servingScheduled = false;
                for (Host host : List.copyOf(hostsWithWaiting)) {
                    if (connectionCount >= maxConnections && hostsWithIdle.isEmpty()) {
                        break;
                    }
                    place(host);
                }
            });
        }
    }

    /** Reports the end of an attempt to the listener, once. */
    void end(Attempt attempt, Reply reply) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.timer != null) {
            attempt.timer.cancel();
        }
        long latency = time.now() - attempt.startedMicros;
        if (attempt.probe()) {
            listener.probeEnded(attempt.host.id, reply, latency);
            return;
        }
        attempts.remove(key(attempt.requestId, attempt.number));
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

    private static String key(String request, int attemptNumber) {
        return attemptNumber + "/" + request;
    }

    private void sweep() {
        time.after(SWEEP_MICROS, this::sweep);
        inventoryChanged();
        hosts.values().removeIf(h -> !runs(h) && h.connectionCount == 0 && h.waiting.isEmpty());
        hostsWithWaiting.removeIf(h -> h.waiting.isEmpty()); // their attempts have timed out
        for (Host host : hosts.values()) {
            for (HostConnection connection : host.idle.toArray(new HostConnection[0])) {
                if (time.now() - connection.idleSinceMicros > idleMicros) {
                    connection.close();
                }
            }
        }
    }
}
