package baymoor.south;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.inventory.Inventory;
import baymoor.link.Dialer;
import baymoor.link.Time;
import baymoor.memory.ClientMemory;
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

/**
 * The south side: sends attempts to hosts within limits of connections and time, and reports how each of them ended. Not
 * thread-safe: called on the decision thread only.
 */
public final class South {

    /** Receives the ends of attempts and probes, never from within a call to a method of this class. */
    public interface Listener {
        /** Called when an attempt has ended and can't reach the host any more. */
        void attemptEnded(String requestId, int attempt, long host, Reply reply, long latencyMicros);

        /** Called when a probe has ended. */
        void probeEnded(long host, Reply reply, long latencyMicros);
    }

    private static final long SWEEP_INTERVAL_MICROS = 1_000_000;
    /** How long before the host's idle time-out a connection is closed, so that no request crosses the host's close. */
    private static final long IDLE_CLOSE_MARGIN_MICROS = 3_000_000;

    private static final long PROBE_TIMEOUT_MICROS = 400_000;
    private static final int STALL_TIMEOUT_DIVISOR = 4;
    private static final int MAX_EXCESS_CONNECTIONS = 8;

    final Dialer dialer;
    final Time time;
    final Counters counters;
    final AnswerMemory answerMemory;
    final long connectTimeoutMicros;
    /**
     * An answer that has begun and then pauses for this long fails, since a host may announce more bytes than it sends. A
     * fraction of the connect time-out, so that time is left for another attempt.
     */
    final long stallTimeoutMicros;

    private final LongFunction<Inventory.Entry> inventory;
    private final String originKind;
    private final List<String> reportFields;
    private final Listener listener;
    private final long idleTimeoutMicros;
    private final int maxConnections;
    private final Map<Long, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    /** Hosts with attempts that wait for a connection; a separate set, since most hosts of a large fleet have none. */
    private final Set<Host> hostsWithQueuedAttempts = new LinkedHashSet<>();
    /** Hosts with idle connections. */
    final Set<Host> hostsWithIdleConnections = new LinkedHashSet<>();

    private boolean assignmentScheduled;
    int connectionCount;

    /**
     * Creates the south side without connections.
     *
     * @param inventory      finds a host by its id, null if unknown
     * @param originKind     the kind that marks the origin in the inventory, or null
     * @param reportFields   names of the values of a load report, empty without load reports
     * @param maxConnections limit of open connections to all hosts together
     * @param memory         accounts for large answers while they are received
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
            ClientMemory memory,
            Listener listener) {
        this.dialer = dialer;
        this.time = time;
        this.counters = counters;
        this.inventory = inventory;
        this.originKind = originKind;
        this.reportFields = reportFields;
        this.maxConnections = maxConnections;
        answerMemory = new AnswerMemory(memory);
        this.listener = listener;
        connectTimeoutMicros =
                limits.connectTimeoutMicros() > 0 ? limits.connectTimeoutMicros() : SWEEP_INTERVAL_MICROS;
        stallTimeoutMicros = connectTimeoutMicros / STALL_TIMEOUT_DIVISOR;
        long idleCloseMicros = limits.idleCloseMicros() > 0 ? limits.idleCloseMicros() : Long.MAX_VALUE;
        idleTimeoutMicros = Math.max(idleCloseMicros / 2, idleCloseMicros - IDLE_CLOSE_MARGIN_MICROS);
        time.schedule(SWEEP_INTERVAL_MICROS, this::sweep);
    }

    /**
     * Starts an attempt. Its end is always reported to the listener, also if it can't be sent.
     *
     * @param stillAllowed whether the attempt may still be sent, asked right before it is written, which may be much later
     */
    public void send(
            String requestId,
            int attemptNumber,
            long hostId,
            RequestContent content,
            long deadlineMicros,
            BooleanSupplier stillAllowed) {
        counters.increment(Count.RELAYS);
        Attempt attempt =
                new Attempt(requestId, attemptNumber, host(hostId), content, time.now(), deadlineMicros, stillAllowed);
        attempts.put(attemptKey(requestId, attemptNumber), attempt);
        start(attempt);
    }

    /** Requests a host's load report, or pings it if it reports no load. The end is reported to the listener. */
    public void probe(long hostId) {
        counters.increment(Count.PROBES);
        start(new Attempt(null, 0, host(hostId), null, time.now(), time.now() + PROBE_TIMEOUT_MICROS, () -> true));
    }

    private void start(Attempt attempt) {
        if (attempt.host.address == null) { // the host is not in the inventory
            time.schedule(0, () -> endAttempt(attempt, Reply.withoutAnswer(Outcome.NOT_SENT)));
            return;
        }
        attempt.timer = time.schedule(attempt.deadlineMicros - time.now(), () -> abort(attempt, Outcome.TIMED_OUT));
        attempt.host.queued.addLast(attempt);
        hostsWithQueuedAttempts.add(attempt.host);
        assignConnections(attempt.host);
    }

    /** Aborts an attempt. Its end is reported to the listener. */
    public void cancel(String requestId, int attemptNumber) {
        Attempt attempt = attempts.get(attemptKey(requestId, attemptNumber));
        if (attempt != null) {
            time.schedule(0, () -> abort(attempt, Outcome.CANCELLED));
        }
    }

    /** Removes an attempt from the queue for a connection. One that has a connection goes on. */
    public void withdraw(String requestId, int attemptNumber) {
        Attempt attempt = attempts.get(attemptKey(requestId, attemptNumber));
        if (attempt != null && attempt.host.queued.remove(attempt)) {
            time.schedule(0, () -> endAttempt(attempt, Reply.withoutAnswer(Outcome.NOT_SENT)));
        }
    }

    /** Closes the idle connections to a host. */
    public void closeIdle(long hostId) {
        Host host = hosts.get(hostId);
        if (host != null) {
            host.closeIdleConnections();
        }
    }

    /** Handles a change of the inventory: closes idle connections to hosts that accept no new requests. */
    public void inventoryChanged() {
        for (Host host : hosts.values()) {
            if (!acceptsRequests(host)) {
                host.closeIdleConnections();
            }
        }
    }

    private boolean acceptsRequests(Host host) {
        Inventory.Entry entry = inventory.apply(host.id);
        return entry != null && entry.state() == State.RUNNING;
    }

    /** Returns whether a host may still have queued or sent attempts, or open connections. */
    public boolean inUse(long hostId) {
        return hosts.containsKey(hostId);
    }

    private void abort(Attempt attempt, Outcome outcome) {
        if (attempt.ended) {
            return;
        }
        if (attempt.connection != null) {
            attempt.connection.abort(outcome);
        } else {
            attempt.host.queued.remove(attempt);
            endAttempt(attempt, Reply.withoutAnswer(outcome == Outcome.TIMED_OUT ? Outcome.NOT_CONNECTED : outcome));
        }
    }

    private Host host(long hostId) {
        Inventory.Entry entry = inventory.apply(hostId);
        if (entry == null) {
            return new Host(hostId, this);
        }
        Host host = hosts.computeIfAbsent(hostId, key -> new Host(key, this));
        if (!entry.address().equals(host.address)) {
            host.closeIdleConnections();
            host.address = entry.address();
        }
        return host;
    }

    /** Returns whether an attempt may still be sent: its sender allows it, its host runs, and its deadline has not passed. */
    boolean maySend(Attempt attempt) {
        return attempt.stillAllowed() && acceptsRequests(attempt.host) && time.now() < attempt.deadlineMicros;
    }

    /** Assigns connections to a host's queued attempts: idle ones first, then new ones within the limit. */
    private void assignConnections(Host host) {
        while (!host.queued.isEmpty()) {
            HostConnection connection = host.takeIdleConnection();
            if (connection != null) {
                connection.assign(host.queued.pollFirst());
            } else if (connectionCount < maxConnections || closeIdleOfAnotherHost(host)) {
                connectionCount++;
                host.connectionCount++;
                boolean isOrigin = inventory.apply(host.id).kind().equals(originKind);
                String address = host.address.getAddress().getHostAddress() + ":" + host.address.getPort();
                Codec codec = isOrigin ? new OriginCodec(address, reportFields) : new RouterCodec(reportFields);
                new HostConnection(this, host, codec, host.queued.pollFirst()).dial();
            } else {
                return;
            }
        }
        hostsWithQueuedAttempts.remove(host);
    }

    /**
     * Closes an idle connection of another host to make room for a new one.
     *
     * @return whether a new connection may be opened. Until the close has completed, the limit is exceeded, at most by
     *     {@link #MAX_EXCESS_CONNECTIONS}, since file descriptors are bounded
     */
    private boolean closeIdleOfAnotherHost(Host requester) {
        for (Host host : hostsWithIdleConnections) {
            if (host != requester) {
                host.idleConnections.peekFirst().close();
                return connectionCount < maxConnections + MAX_EXCESS_CONNECTIONS;
            }
        }
        return false;
    }

    /** Schedules the assignment of connections to all queued attempts, after the current event has been handled. */
    void scheduleAssignment() {
        if (!assignmentScheduled && !hostsWithQueuedAttempts.isEmpty()) {
            assignmentScheduled = true;
            time.schedule(0, () -> {
                assignmentScheduled = false;
                for (Host host : List.copyOf(hostsWithQueuedAttempts)) {
                    if (connectionCount >= maxConnections && hostsWithIdleConnections.isEmpty()) {
                        break;
                    }
                    assignConnections(host);
                }
            });
        }
    }

    /** Reports the end of an attempt to the listener, once. */
    void endAttempt(Attempt attempt, Reply reply) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        if (attempt.timer != null) {
            attempt.timer.cancel();
        }
        long latency = time.now() - attempt.startedMicros;
        if (attempt.isProbe()) {
            listener.probeEnded(attempt.host.id, reply, latency);
            return;
        }
        attempts.remove(attemptKey(attempt.requestId, attempt.number));
        counters.increment(
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

    private static String attemptKey(String requestId, int attemptNumber) {
        return attemptNumber + "/" + requestId;
    }

    private void sweep() {
        time.schedule(SWEEP_INTERVAL_MICROS, this::sweep);
        inventoryChanged();
        hosts.values().removeIf(host -> !acceptsRequests(host) && host.connectionCount == 0 && host.queued.isEmpty());
        hostsWithQueuedAttempts.removeIf(host -> host.queued.isEmpty()); // their attempts have timed out
        for (Host host : hosts.values()) {
            for (HostConnection connection : host.idleConnections.toArray(new HostConnection[0])) {
                if (time.now() - connection.idleSinceMicros > idleTimeoutMicros) {
                    connection.close();
                }
            }
        }
    }
}
