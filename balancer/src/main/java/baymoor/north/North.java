package baymoor.north;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Serves the clients: accepts connections within the limits, tracks the requests that await a response and gives each
 * exactly one, at the latest shortly after its deadline. Called on the decision thread only.
 */
public final class North {

    /** A request without a response this long after its deadline fails. */
    private static final long OVERDUE_GRACE_MICROS = 10_000;

    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 250_000;
    /**
     * From this share of the connection limit on, each new connection evicts the one idle longest. Usual clients hold up to a
     * third of all descriptors, which is two thirds of this limit; half of that is free for all.
     */
    private static final int IDLE_EVICTION_PERCENT = 30;

    private static final long MIN_IDLE_MICROS = 100_000;
    /** Connections over the limit whose first request is still answered, as busy; any more are closed at once. */
    private static final int MAX_EXCESS_CONNECTIONS = 8;
    /** Evicted connections that may wait for their clients to close them. */
    private static final int MAX_EVICTED_CONNECTIONS = 8;
    /** A connection that may have waited for longer than this to be accepted is counted. */
    private static final long LONG_ACCEPT_WAIT_MICROS = 100_000;
    /** While there are connections over the limit, how often others are evicted for them. */
    private static final long LIMIT_CHECK_INTERVAL_MICROS = 20_000;
    /** Most connections over the limit: excess and evicted ones, and as many excess ones again that are closing. */
    public static final int MAX_CONNECTIONS_OVER_LIMIT = 2 * MAX_EXCESS_CONNECTIONS + MAX_EVICTED_CONNECTIONS;

    final Time time;
    final Counters counters;
    final Set<String> requestClasses;
    final Supplier<String> counterReport;
    final ClientMemory memory;
    private final RequestHandler requestHandler;
    private final int maxClients;
    private final int maxPendingRequests;
    private final Map<Long, PendingReply> pendingByTicket = new HashMap<>();
    private final Set<RespClient> clients = new LinkedHashSet<>();
    /** Evicted connections that are not closed yet. */
    private final Set<RespClient> evicted = new LinkedHashSet<>();
    /** Connections without pending replies, in the order in which their last reply was sent. */
    private final Set<RespClient> idleClients = new LinkedHashSet<>();

    private boolean limitCheckScheduled;
    private long lastTicket;
    private boolean draining;

    /**
     * Creates the clients' side and starts its periodic check of timeouts.
     *
     * @param requestClasses     names of the request classes that requests may carry
     * @param maxClients         connections above which a new one evicts an idle one or is rejected
     * @param maxPendingRequests open requests above which new ones are rejected as busy
     * @param memory             accounts for what clients make the program hold; a write whose value does not fit is rejected
     * @param counterReport      returns the counters as text, for the INFO command
     */
    public North(
            Time time,
            Counters counters,
            Set<String> requestClasses,
            RequestHandler requestHandler,
            int maxClients,
            int maxPendingRequests,
            ClientMemory memory,
            Supplier<String> counterReport) {
        this.time = time;
        this.counters = counters;
        this.requestClasses = Set.copyOf(requestClasses);
        this.requestHandler = requestHandler;
        this.maxClients = maxClients;
        this.maxPendingRequests = maxPendingRequests;
        this.memory = memory;
        this.counterReport = counterReport;
        time.schedule(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
    }

    private void checkTimeouts() {
        time.schedule(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
        boolean crowded = clients.size() > maxClients / 4;
        allClients().forEach(c -> c.checkTimeouts(crowded));
    }

    private List<RespClient> allClients() {
        List<RespClient> all = new ArrayList<>(clients);
        all.addAll(evicted);
        return all;
    }

    /** Accepts a client's connection and returns the listener for its events. */
    public LinkEvents accept(Link link) {
        counters.increment(Count.CLIENTS_ACCEPTED);
        if (link.acceptWaitMicros() > LONG_ACCEPT_WAIT_MICROS) {
            counters.increment(Count.CLIENTS_WAITED);
        }
        RespClient client = new RespClient(this, link);
        clients.add(client);
        if (clients.size() > maxClients) {
            enforceConnectionLimit(client);
        } else if (clients.size() > maxClients * IDLE_EVICTION_PERCENT / 100) {
            // Evicts before the limit is reached: idle clients must not keep others from connecting.
            longestIdle().ifPresent(this::evict);
        }
        return client;
    }

    /** Returns the client idle longest, if it is idle for long enough; searches idle clients only, for speed. */
    private Optional<RespClient> longestIdle() {
        for (RespClient client : idleClients) {
            if (client.hasBeenIdleFor(MIN_IDLE_MICROS)) {
                return Optional.of(client);
            }
            if (time.now() - client.progressMicros() <= MIN_IDLE_MICROS) {
                break; // the clients behind it became idle later
            }
        }
        return Optional.empty();
    }

    /** Moves the client to the end of the idle ones: its last reply has been sent. */
    void markIdle(RespClient client) {
        idleClients.remove(client);
        idleClients.add(client);
    }

    void markBusy(RespClient client) {
        idleClients.remove(client);
    }

    private void evict(RespClient client) {
        counters.increment(Count.CLIENTS_EVICTED);
        clients.remove(client);
        evicted.add(client);
        client.closeAfterReplies();
        closeExcessEvicted();
    }

    /** Closes evicted connections that their clients leave open, past {@link #MAX_EVICTED_CONNECTIONS}. */
    private void closeExcessEvicted() {
        int excess = evicted.size() - MAX_EVICTED_CONNECTIONS;
        if (excess > 0) {
            evicted.stream().filter(RespClient::isOutputClosed).limit(excess).forEach(RespClient::closeNow);
        }
    }

    /**
     * Keeps connections within the limit by evicting one: the oldest that owes a command first, then the one idle longest. Silent
     * connections may come by the hundred and would displace those of working clients. Where none is idle the new connection's
     * first request is rejected, or the connection closed.
     */
    private void enforceConnectionLimit(RespClient newest) {
        oldestOwingCommand()
                .or(() -> clients.stream()
                        .filter(c -> c.hasSentCommand() && c.isIdle())
                        .findFirst())
                .or(() ->
                        clients.stream().filter(c -> c != newest && c.isIdle()).findFirst())
                .ifPresentOrElse(this::evict, () -> {
                    if (clients.size() > maxClients + MAX_EXCESS_CONNECTIONS) {
                        counters.increment(Count.CLIENTS_EVICTED);
                        newest.closeAfterReplies();
                    } else {
                        newest.rejectFirstRequest();
                    }
                });
        scheduleLimitCheck();
    }

    private Optional<RespClient> oldestOwingCommand() {
        return clients.stream().filter(RespClient::owesCommand).findFirst();
    }

    /**
     * Evicts connections over the limit as soon as they owe a command or are idle. A new connection evicts one only when it is
     * accepted, and none is accepted any more once the excess places are taken too.
     */
    private void checkConnectionLimit() {
        limitCheckScheduled = false;
        boolean anyEvictable = true;
        while (clients.size() > maxClients && anyEvictable) {
            anyEvictable = evictOne();
        }
        closeExcessEvicted();
        scheduleLimitCheck();
    }

    /** Evicts a client that owes a command, else the one idle longest; returns false if there is none. */
    private boolean evictOne() {
        Optional<RespClient> client = oldestOwingCommand().or(this::longestIdle);
        client.ifPresent(this::evict);
        return client.isPresent();
    }

    private void scheduleLimitCheck() {
        boolean exceeded = clients.size() > maxClients || evicted.size() > MAX_EVICTED_CONNECTIONS;
        if (exceeded && !limitCheckScheduled) {
            limitCheckScheduled = true;
            time.schedule(LIMIT_CHECK_INTERVAL_MICROS, this::checkConnectionLimit);
        }
    }

    /** Returns whether connections are within the limit, if need be after evicting one that owes a command. */
    boolean makeRoom() {
        if (clients.size() > maxClients) {
            oldestOwingCommand().ifPresent(this::evict);
        }
        return clients.size() <= maxClients;
    }

    /** Returns whether a request with this id is open, or an attempt of it is still in flight. */
    boolean isIdInUse(String id) {
        return requestHandler.isRequestIdInUse(id);
    }

    /** Returns, and counts, whether the request would exceed the limits on open requests or on their memory. */
    boolean overCapacity(ClientRequest request) {
        boolean exceeded = pendingByTicket.size() >= maxPendingRequests
                || !memory.hasRoom(Part.OPEN_REQUESTS, request.memoryBytes())
                || !memory.hasRoom(Part.REQUEST_VALUES, valueLength(request));
        if (exceeded) {
            counters.increment(Count.TURNED_AWAY);
        }
        return exceeded;
    }

    private static int valueLength(ClientRequest request) {
        return request.write() ? request.value().length : 0;
    }

    /** Makes the client the most recently used one, and revokes its eviction. */
    void markUsed(RespClient client) {
        if (clients.remove(client) || evicted.remove(client)) {
            clients.add(client);
            scheduleLimitCheck();
        }
    }

    /** Registers an open request and starts the timer of its deadline. */
    PendingReply register(RespClient client, ClientRequest request) {
        counters.increment(Count.REQUESTS);
        PendingReply pending = new PendingReply(client, ++lastTicket, request.memoryBytes(), valueLength(request));
        memory.add(Part.OPEN_REQUESTS, pending.requestBytes);
        memory.add(Part.REQUEST_VALUES, pending.valueBytes);
        pendingByTicket.put(pending.ticket, pending);
        long delay = request.deadlineMicros() + OVERDUE_GRACE_MICROS - time.now();
        pending.deadlineTimer = time.schedule(Math.max(0, delay), () -> failOverdue(pending));
        return pending;
    }

    void dispatch(PendingReply pending, ClientRequest request) {
        requestHandler.requestReceived(pending.ticket, request);
    }

    private void failOverdue(PendingReply pending) {
        if (pendingByTicket.containsKey(pending.ticket)) {
            counters.increment(Count.OVERDUE);
            answer(pending.ticket, new Answer.Failed());
            requestHandler.requestAbandoned(pending.ticket);
        }
    }

    /** Returns whether the request is open and its client still connected, as far as is known. */
    public boolean isAwaited(long ticket) {
        PendingReply pending = pendingByTicket.get(ticket);
        return pending != null && pending.client.isConnected();
    }

    /** Sends the request's final response; returns false if the request is not open any more. */
    public boolean answer(long ticket, Answer result) {
        PendingReply pending = pendingByTicket.remove(ticket);
        if (pending == null) {
            return false;
        }
        Answer answer = withinMemory(result);
        close(pending);
        counters.increment(
                answer instanceof Answer.Served
                        ? Count.SERVED
                        : answer instanceof Answer.BackOff ? Count.REFUSED : Count.FAILED);
        pending.client.complete(pending, answer);
        return true;
    }

    /** Releases what a request holds that is no longer open. */
    private void close(PendingReply pending) {
        memory.add(Part.OPEN_REQUESTS, -pending.requestBytes);
        memory.add(Part.REQUEST_VALUES, -pending.valueBytes);
        pending.deadlineTimer.cancel();
    }

    /** Returns the answer, or a failure in place of a value that there is no memory for until the client has read it. */
    private Answer withinMemory(Answer answer) {
        if (answer instanceof Answer.Served served
                && served.value().length > memory.connectionWindowBytes()
                && !memory.hasRoom(Part.UNSENT_REPLIES, served.value().length)) {
            counters.increment(Count.VALUES_DROPPED);
            return new Answer.Failed();
        }
        return answer;
    }

    /** Forgets a client and reports those of its requests that are still open as abandoned. */
    void clientDisconnected(RespClient client, Iterable<PendingReply> unanswered) {
        counters.increment(Count.CLIENTS_CLOSED);
        clients.remove(client);
        evicted.remove(client);
        idleClients.remove(client);
        List<PendingReply> abandoned = new ArrayList<>();
        for (PendingReply pending : unanswered) {
            if (pendingByTicket.remove(pending.ticket) != null) {
                close(pending);
                abandoned.add(pending);
            }
        }
        for (PendingReply pending : abandoned) {
            counters.increment(Count.REQUESTS_GONE);
            requestHandler.requestAbandoned(pending.ticket);
        }
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Closes idle connections, now and as soon as others become idle. A new connection stays open while its first
     * request may still be in transit.
     */
    public void drain() {
        draining = true;
        for (RespClient client : List.copyOf(clients)) {
            if (client.isIdle() && !client.awaitsFirstCommand()) {
                client.closeAfterReplies();
            }
        }
    }

    /** Returns whether no request is open, all replies have been sent and the output of every connection is closed. */
    public boolean isDrained() {
        return pendingByTicket.isEmpty() && allClients().stream().allMatch(RespClient::isOutputClosed);
    }

    /** Returns whether no connection is left. */
    public boolean hasNoConnections() {
        return clients.isEmpty() && evicted.isEmpty();
    }

    /** Fails all open requests and closes every connection; for shutdown. */
    public void failAll() {
        for (Long ticket : List.copyOf(pendingByTicket.keySet())) {
            answer(ticket, new Answer.Failed());
        }
        allClients().forEach(RespClient::closeUnconditionally);
    }
}
