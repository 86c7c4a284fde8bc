package baymoor.north;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** The clients' side: what each is owed, by when, and that it gets it once. */
public final class North {

    /** An answer later than this after the deadline would break a rule: then the request fails, whoever slept. */
    private static final long OVERDUE_GRACE_MICROS = 10_000;

    private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 250_000;
    /** Clients hold up to a third of all descriptors, two thirds of the bound here: half of that is room for all. */
    private static final int IDLE_EVICTION_PERCENT = 30;

    private static final long MIN_IDLE_MICROS = 100_000;
    /** Connections past the bound that are told to come back; a crowd past these is closed unheard. */
    private static final int MAX_EXCESS_CONNECTIONS = 8;
    /** Connections that made room and whose clients take their time to end them. */
    private static final int MAX_EVICTED_CONNECTIONS = 8;
    /** Connections past the bound at the most: those two, and as many whose end is not through yet. */
    public static final int MOST_BEYOND = 2 * MAX_EXCESS_CONNECTIONS + MAX_EVICTED_CONNECTIONS;

    final Time time;
    final Counters counters;
    final Set<String> requestClasses;
    final Supplier<String> counterReport;
    private final RequestHandler requestHandler;
    private final int maxClients;
    private final int maxPendingRequests;
    private final long maxValueBytes;
    private long pendingValueBytes;
    private final Map<Long, PendingReply> pendingByTicket = new HashMap<>();
    private final Set<RespClient> clients = new LinkedHashSet<>();
    /** Those that were told to make room and whose end is not through. */
    private final Set<RespClient> evicted = new LinkedHashSet<>();
    /** Connections without anything owed, in the order in which the last answer left. */
    private final Set<RespClient> idleClients = new LinkedHashSet<>();

    private long lastTicket;
    private boolean draining;

    /**
     * @param requestClasses     names of the request classes
     * @param maxClients past so many connections those idle longest are closed
     * @param maxPendingRequests    past so many open requests the next ones are turned away
     * @param maxValueBytes past so many bytes of the values of open writes the next ones are turned away
     * @param counterReport      the counters as text
     */
    public North(
            Time time,
            Counters counters,
            Set<String> requestClasses,
            RequestHandler requestHandler,
            int maxClients,
            int maxPendingRequests,
            long maxValueBytes,
            Supplier<String> counterReport) {
        this.time = time;
        this.counters = counters;
        this.requestClasses = Set.copyOf(requestClasses);
        this.requestHandler = requestHandler;
        this.maxClients = maxClients;
        this.maxPendingRequests = maxPendingRequests;
        this.maxValueBytes = maxValueBytes;
        this.counterReport = counterReport;
        time.after(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
    }

    private void checkTimeouts() {
        time.after(TIMEOUT_CHECK_INTERVAL_MICROS, this::checkTimeouts);
        boolean crowded = clients.size() > maxClients / 4;
        allClients().forEach(c -> c.checkTimeouts(crowded));
    }

    private List<RespClient> allClients() {
        List<RespClient> all = new ArrayList<>(clients);
        all.addAll(evicted);
        return all;
    }

    /** What is owed to one command of a client, in whose order the answers go out. */
    static final class PendingReply {
        final RespClient client;
        final long ticket;
        final int valueBytes;
        Time.Timer deadlineTimer;
        byte[] reply;
        /** How many commands in a row it answers. */
        int repeatCount = 1;

        PendingReply(RespClient client, long ticket, int valueBytes) {
            this.client = client;
            this.ticket = ticket;
            this.valueBytes = valueBytes;
        }
    }

    /** A client has connected. */
    public LinkEvents client(Link link) {
        counters.add(Count.CLIENTS_ACCEPTED);
        RespClient client = new RespClient(this, link);
        clients.add(client);
        if (clients.size() > maxClients) {
            enforceConnectionLimit(client);
        } else if (clients.size() > maxClients * IDLE_EVICTION_PERCENT / 100) {
            // Seen: a crowd that asks and stays took all connections that clients may hold, and other clients' requests
            // found none. One more than there is room for takes the place of the one idle longest, if that rests.
            longestIdle().ifPresent(this::evict);
        }
        return client;
    }

    /** Looks at those that may rest only: among some thousand busy connections the search for one took a sixth of all time. */
    private Optional<RespClient> longestIdle() {
        for (RespClient client : idleClients) {
            if (client.hasBeenIdleFor(MIN_IDLE_MICROS)) {
                return Optional.of(client);
            }
            if (time.now() - client.progressMicros() <= MIN_IDLE_MICROS) {
                break; // those behind it came to rest later still
            }
        }
        return Optional.empty();
    }

    /** All that was owed there has left. */
    void markIdle(RespClient client) {
        idleClients.remove(client);
        idleClients.add(client);
    }

    void markBusy(RespClient client) {
        idleClients.remove(client);
    }

    private void evict(RespClient client) {
        counters.add(Count.CLIENTS_EVICTED);
        clients.remove(client);
        evicted.add(client);
        client.closeAfterReplies();
        if (evicted.size() > MAX_EVICTED_CONNECTIONS) {
            evicted.stream().filter(RespClient::isOutputClosed).findFirst().ifPresent(RespClient::closeNow);
        }
    }

    /**
     * Descriptors are bounded. What never spoke goes first: seen were hundreds of silent connections, for which those
     * of clients at work would have gone. Then what has been quiet longest, which a client may expect between requests.
     */
    private void enforceConnectionLimit(RespClient newest) {
        clients.stream()
                .filter(RespClient::isSilent)
                .findFirst()
                .or(() -> clients.stream()
                        .filter(c -> c.hasSentCommand() && c.isIdle())
                        .findFirst())
                .or(() ->
                        clients.stream().filter(c -> c != newest && c.isIdle()).findFirst())
                .ifPresentOrElse(this::evict, () -> {
                    if (clients.size() > maxClients + MAX_EXCESS_CONNECTIONS) {
                        counters.add(Count.CLIENTS_EVICTED);
                        newest.closeAfterReplies();
                    } else {
                        newest.rejectFirstRequest();
                    }
                });
    }

    /** Whether a request with this id is still open, or one of its attempts out. */
    boolean isIdInUse(String id) {
        return requestHandler.open(id);
    }

    /**
     * Whether a request is to be turned away before the decisions see it: a crowd of requests, or of large values,
     * must not take more memory than there is.
     */
    boolean overCapacity(ClientRequest request) {
        boolean exceeded = pendingByTicket.size() >= maxPendingRequests
                || pendingValueBytes + valueLength(request) > maxValueBytes;
        if (exceeded) {
            counters.add(Count.TURNED_AWAY);
        }
        return exceeded;
    }

    private static int valueLength(ClientRequest request) {
        return request.write() ? request.value().length : 0;
    }

    /** Used again: it goes to the end of the row of those that may be closed. */
    void markUsed(RespClient client) {
        if (clients.remove(client) || evicted.remove(client)) {
            clients.add(client);
        }
    }

    PendingReply register(RespClient client, ClientRequest request) {
        counters.add(Count.REQUESTS);
        PendingReply pending = new PendingReply(client, ++lastTicket, valueLength(request));
        pendingValueBytes += pending.valueBytes;
        pendingByTicket.put(pending.ticket, pending);
        long delay = request.deadlineMicros() + OVERDUE_GRACE_MICROS - time.now();
        pending.deadlineTimer = time.after(Math.max(0, delay), () -> failOverdue(pending));
        return pending;
    }

    void dispatch(PendingReply pending, ClientRequest request) {
        requestHandler.taken(pending.ticket, request);
    }

    private void failOverdue(PendingReply pending) {
        if (pendingByTicket.containsKey(pending.ticket)) {
            counters.add(Count.OVERDUE);
            answer(pending.ticket, new Answer.Failed());
            requestHandler.gone(pending.ticket);
        }
    }

    /** Whether an answer is owed to a client that is still there, as far as its connection knows. */
    public boolean waits(long ticket) {
        PendingReply pending = pendingByTicket.get(ticket);
        return pending != null && pending.client.isConnected();
    }

    /** Gives the final answer; false if none is owed any more. */
    public boolean answer(long ticket, Answer answer) {
        PendingReply pending = pendingByTicket.remove(ticket);
        if (pending == null) {
            return false;
        }
        pendingValueBytes -= pending.valueBytes;
        pending.deadlineTimer.cancel();
        counters.add(
                answer instanceof Answer.Served
                        ? Count.SERVED
                        : answer instanceof Answer.BackOff ? Count.REFUSED : Count.FAILED);
        pending.client.complete(pending, answer);
        return true;
    }

    void clientDisconnected(RespClient client, Iterable<PendingReply> unanswered) {
        counters.add(Count.CLIENTS_CLOSED);
        clients.remove(client);
        evicted.remove(client);
        idleClients.remove(client);
        List<PendingReply> abandoned = new ArrayList<>();
        for (PendingReply pending : unanswered) {
            if (pendingByTicket.remove(pending.ticket) != null) {
                pendingValueBytes -= pending.valueBytes;
                pending.deadlineTimer.cancel();
                abandoned.add(pending);
            }
        }
        for (PendingReply pending : abandoned) {
            counters.add(Count.REQUESTS_GONE);
            requestHandler.gone(pending.ticket);
        }
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * From now on connections are closed as soon as nothing is owed on them. Seen: a connection that had just come up went
     * with those at rest, while its first request was on the way; it stays for as long as that may take.
     */
    public void drain() {
        draining = true;
        for (RespClient client : List.copyOf(clients)) {
            if (client.isIdle() && !client.awaitsFirstCommand()) {
                client.closeAfterReplies();
            }
        }
    }

    /** Whether nothing is owed to anyone, and every answer and this side's end have left on each connection. */
    public boolean quiet() {
        return pendingByTicket.isEmpty() && allClients().stream().allMatch(RespClient::isOutputClosed);
    }

    /** Whether no connection is left. */
    public boolean empty() {
        return clients.isEmpty() && evicted.isEmpty();
    }

    /** Fails all that is owed and ends every connection, since the program ends. */
    public void failAll() {
        for (Long ticket : List.copyOf(pendingByTicket.keySet())) {
            answer(ticket, new Answer.Failed());
        }
        allClients().forEach(RespClient::closeUnconditionally);
    }
}
