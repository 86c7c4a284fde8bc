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
    private static final long OVERDUE_MICROS = 10_000;

    private static final long LOOK_MICROS = 250_000;
    /** Clients hold up to a third of all descriptors, two thirds of the bound here: half of that is room for all. */
    private static final int ROOMY_PERCENT = 30;

    private static final long RESTING_MICROS = 100_000;
    /** Connections past the bound that are told to come back; a crowd past these is closed unheard. */
    private static final int MOST_EXTRA = 8;
    /** Connections that made room and whose clients take their time to end them. */
    private static final int MOST_EVICTED = 8;
    /** Connections past the bound at the most: those two, and as many whose end is not through yet. */
    public static final int MOST_BEYOND = 2 * MOST_EXTRA + MOST_EVICTED;

    final Time time;
    final Counters counters;
    final Set<String> classes;
    final Supplier<String> report;
    private final RequestHandler requestHandler;
    private final int mostClients;
    private final int mostOwed;
    private final long mostValueBytes;
    private long valueBytes;
    private final Map<Long, PendingAnswer> owed = new HashMap<>();
    private final Set<RespClient> clients = new LinkedHashSet<>();
    /** Those that were told to make room and whose end is not through. */
    private final Set<RespClient> evicted = new LinkedHashSet<>();
    /** Connections without anything owed, in the order in which the last answer left. */
    private final Set<RespClient> resting = new LinkedHashSet<>();

    private long tickets;
    private boolean draining;

    /**
     * @param classes     names of the request classes
     * @param mostClients past so many connections those idle longest are closed
     * @param mostOwed    past so many open requests the next ones are turned away
     * @param mostValueBytes past so many bytes of the values of open writes the next ones are turned away
     * @param report      the counters as text
     */
    public North(
            Time time,
            Counters counters,
            Set<String> classes,
            RequestHandler requestHandler,
            int mostClients,
            int mostOwed,
            long mostValueBytes,
            Supplier<String> report) {
        this.time = time;
        this.counters = counters;
        this.classes = Set.copyOf(classes);
        this.requestHandler = requestHandler;
        this.mostClients = mostClients;
        this.mostOwed = mostOwed;
        this.mostValueBytes = mostValueBytes;
        this.report = report;
        time.after(LOOK_MICROS, this::look);
    }

    private void look() {
        time.after(LOOK_MICROS, this::look);
        boolean crowded = clients.size() > mostClients / 4;
        everyone().forEach(c -> c.look(crowded));
    }

    private List<RespClient> everyone() {
        List<RespClient> all = new ArrayList<>(clients);
        all.addAll(evicted);
        return all;
    }

    /** What is owed to one command of a client, in whose order the answers go out. */
    static final class PendingAnswer {
        final RespClient client;
        final long ticket;
        final int bytes;
        Time.Timer overdue;
        byte[] answer;
        /** How many commands in a row it answers. */
        int times = 1;

        PendingAnswer(RespClient client, long ticket, int bytes) {
            this.client = client;
            this.ticket = ticket;
            this.bytes = bytes;
        }
    }

    /** A client has connected. */
    public LinkEvents client(Link link) {
        counters.add(Count.CLIENTS_ACCEPTED);
        RespClient client = new RespClient(this, link);
        clients.add(client);
        if (clients.size() > mostClients) {
            makeRoom(client);
        } else if (clients.size() > mostClients * ROOMY_PERCENT / 100) {
            // Seen: a crowd that asks and stays took all connections that clients may hold, and other clients' requests
            // found none. One more than there is room for takes the place of the one idle longest, if that rests.
            longestAtRest().ifPresent(this::evict);
        }
        return client;
    }

    /** Looks at those that may rest only: among some thousand busy connections the search for one took a sixth of all time. */
    private Optional<RespClient> longestAtRest() {
        for (RespClient client : resting) {
            if (client.rests(RESTING_MICROS)) {
                return Optional.of(client);
            }
            if (time.now() - client.movedMicros() <= RESTING_MICROS) {
                break; // those behind it came to rest later still
            }
        }
        return Optional.empty();
    }

    /** All that was owed there has left. */
    void atRest(RespClient client) {
        resting.remove(client);
        resting.add(client);
    }

    void notAtRest(RespClient client) {
        resting.remove(client);
    }

    private void evict(RespClient client) {
        counters.add(Count.CLIENTS_EVICTED);
        clients.remove(client);
        evicted.add(client);
        client.leave();
        if (evicted.size() > MOST_EVICTED) {
            evicted.stream().filter(RespClient::ended).findFirst().ifPresent(RespClient::cut);
        }
    }

    /**
     * Descriptors are bounded. What never spoke goes first: seen were hundreds of silent connections, for which those
     * of clients at work would have gone. Then what has been quiet longest, which a client may expect between requests.
     */
    private void makeRoom(RespClient newest) {
        clients.stream()
                .filter(RespClient::silent)
                .findFirst()
                .or(() -> clients.stream().filter(c -> c.spoken() && c.quiet()).findFirst())
                .or(() -> clients.stream().filter(c -> c != newest && c.quiet()).findFirst())
                .ifPresentOrElse(this::evict, () -> {
                    if (clients.size() > mostClients + MOST_EXTRA) {
                        counters.add(Count.CLIENTS_EVICTED);
                        newest.leave();
                    } else {
                        newest.oneAnswerOnly();
                    }
                });
    }

    /** Whether a request with this id is still open, or one of its attempts out. */
    boolean open(String id) {
        return requestHandler.open(id);
    }

    /**
     * Whether a request is to be turned away before the decisions see it: a crowd of requests, or of large values,
     * must not take more memory than there is.
     */
    boolean full(ClientRequest request) {
        boolean full = owed.size() >= mostOwed || valueBytes + length(request) > mostValueBytes;
        if (full) {
            counters.add(Count.TURNED_AWAY);
        }
        return full;
    }

    private static int length(ClientRequest request) {
        return request.write() ? request.value().length : 0;
    }

    /** Used again: it goes to the end of the row of those that may be closed. */
    void used(RespClient client) {
        if (clients.remove(client) || evicted.remove(client)) {
            clients.add(client);
        }
    }

    PendingAnswer take(RespClient client, ClientRequest request) {
        counters.add(Count.REQUESTS);
        PendingAnswer pending = new PendingAnswer(client, ++tickets, length(request));
        valueBytes += pending.bytes;
        owed.put(pending.ticket, pending);
        long wait = request.deadlineMicros() + OVERDUE_MICROS - time.now();
        pending.overdue = time.after(Math.max(0, wait), () -> overdue(pending));
        return pending;
    }

    void hand(PendingAnswer pending, ClientRequest request) {
        requestHandler.taken(pending.ticket, request);
    }

    private void overdue(PendingAnswer pending) {
        if (owed.containsKey(pending.ticket)) {
            counters.add(Count.OVERDUE);
            answer(pending.ticket, new Answer.Failed());
            requestHandler.gone(pending.ticket);
        }
    }

    /** Whether an answer is owed to a client that is still there, as far as its connection knows. */
    public boolean waits(long ticket) {
        PendingAnswer pending = owed.get(ticket);
        return pending != null && pending.client.there();
    }

    /** Gives the final answer; false if none is owed any more. */
    public boolean answer(long ticket, Answer answer) {
        PendingAnswer pending = owed.remove(ticket);
        if (pending == null) {
            return false;
        }
        valueBytes -= pending.bytes;
        pending.overdue.cancel();
        counters.add(
                answer instanceof Answer.Served
                        ? Count.SERVED
                        : answer instanceof Answer.BackOff ? Count.REFUSED : Count.FAILED);
        pending.client.answer(pending, answer);
        return true;
    }

    void gone(RespClient client, Iterable<PendingAnswer> left) {
        counters.add(Count.CLIENTS_CLOSED);
        clients.remove(client);
        evicted.remove(client);
        resting.remove(client);
        List<PendingAnswer> open = new ArrayList<>();
        for (PendingAnswer pending : left) {
            if (owed.remove(pending.ticket) != null) {
                valueBytes -= pending.bytes;
                pending.overdue.cancel();
                open.add(pending);
            }
        }
        for (PendingAnswer pending : open) {
            counters.add(Count.REQUESTS_GONE);
            requestHandler.gone(pending.ticket);
        }
    }

    boolean draining() {
        return draining;
    }

    /**
     * From now on connections are closed as soon as nothing is owed on them. Seen: a connection that had just come up went
     * with those at rest, while its first request was on the way; it stays for as long as that may take.
     */
    public void drain() {
        draining = true;
        for (RespClient client : List.copyOf(clients)) {
            if (client.quiet() && !client.awaited()) {
                client.leave();
            }
        }
    }

    /** Whether nothing is owed to anyone, and every answer and this side's end have left on each connection. */
    public boolean quiet() {
        return owed.isEmpty() && everyone().stream().allMatch(RespClient::ended);
    }

    /** Whether no connection is left. */
    public boolean empty() {
        return clients.isEmpty() && evicted.isEmpty();
    }

    /** Fails all that is owed and ends every connection, since the program ends. */
    public void failAll() {
        for (Long ticket : List.copyOf(owed.keySet())) {
            answer(ticket, new Answer.Failed());
        }
        everyone().forEach(RespClient::endAnyway);
    }
}
