package baymoor.inventory;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Time;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import merlinstep.Decisions.ServerList;

/**
 * Gossips the server list among balancers that have no live watch of discovery. Such a balancer queries a few random
 * peers for the hosts that run, and repeats this until its own watch is established; otherwise nothing is sent. A reply can
 * stop the use of a host but never start it, and confirms the list held as of the time when the peer's list was complete:
 * balancers without a watch forward what they have learnt together with its age. A nonce matches each reply to its query, so
 * that a late or duplicated reply can't be taken for a fresh one.
 *
 * <p>All methods are called on the decision thread.
 */
public final class ListExchange {

    /** Sends a datagram to a peer, given by its index in the tier. */
    @FunctionalInterface
    public interface Sender {
        /** Sends one datagram, without any guarantee of delivery. */
        void send(int peer, byte[] datagram);
    }

    /** Peers queried per round: a change known to one of n balancers reaches all in about log2(n) rounds despite some losses. */
    private static final int QUERY_FANOUT = 3;
    /** Longer than a round trip, so that a query isn't repeated before its reply can arrive. */
    private static final long INITIAL_QUERY_INTERVAL_MICROS = 100_000;
    /** Well below {@link ListConfirmation#MAX_LIST_AGE_MICROS}: replies may be lost, and age while peers forward them. */
    private static final long MAX_QUERY_INTERVAL_MICROS = 1_000_000;
    /** Later replies are dropped, since the list they describe is too old. */
    private static final long REPLY_TIMEOUT_MICROS = 2_000_000;

    private final int selfIndex;
    private final int balancerCount;
    private final Time time;
    private final Random random;
    private final Inventory inventory;
    private final ListConfirmation confirmation;
    private final Counters counters;
    private final Sender sender;
    private final Consumer<ServerList> listener;
    private Runnable confirmedTask = () -> {};
    private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
    private long queryIntervalMicros;
    private Time.Timer nextQueryTimer;

    /** A query in flight, with the parts of its reply received so far. */
    private static final class PendingQuery {
        final int peer;
        final long sentMicros;
        final Map<Integer, ListMessage.Reply> parts = new HashMap<>();

        PendingQuery(int peer, long sentMicros) {
            this.peer = peer;
            this.sentMicros = sentMicros;
        }
    }

    /**
     * Creates an exchange that sends nothing yet.
     *
     * @param selfIndex     this balancer's index, from 0 to {@code balancerCount - 1}
     * @param balancerCount size of the tier, 1 if there are no peers to query
     * @param seed          seeds the choice of peers, the nonces and the jitter of the query interval; another one for each process
     *                      that runs at this address, as replies to the one before may still arrive
     * @param listener      receives the list when a reply has stopped hosts
     */
    public ListExchange(
            int selfIndex,
            int balancerCount,
            long seed,
            Time time,
            Inventory inventory,
            ListConfirmation confirmation,
            Counters counters,
            Sender sender,
            Consumer<ServerList> listener) {
        this.selfIndex = selfIndex;
        this.balancerCount = balancerCount;
        this.time = time;
        this.inventory = inventory;
        this.confirmation = confirmation;
        this.counters = counters;
        this.sender = sender;
        this.listener = listener;
        random = new Random(seed);
    }

    /** Sets the task that runs each time a peer's reply has confirmed the list. */
    public void onListConfirmed(Runnable task) {
        confirmedTask = task;
    }

    /** Starts querying peers, unless a watch is live or queries are already running. */
    public void startQuerying() {
        if (nextQueryTimer == null && !confirmation.hasLiveWatch() && balancerCount > 1) {
            queryIntervalMicros = INITIAL_QUERY_INTERVAL_MICROS;
            queryPeers();
        }
    }

    private void queryPeers() {
        nextQueryTimer = null;
        pendingQueries.values().removeIf(query -> time.now() - query.sentMicros > REPLY_TIMEOUT_MICROS);
        if (confirmation.hasLiveWatch()) {
            return;
        }
        Set<Integer> peers = new HashSet<>();
        while (peers.size() < Math.min(QUERY_FANOUT, balancerCount - 1)) {
            int peer = random.nextInt(balancerCount);
            if (peer != selfIndex && peers.add(peer)) {
                sendQuery(peer);
            }
        }
        nextQueryTimer = time.schedule(
                queryIntervalMicros / 2 + (long) (random.nextDouble() * queryIntervalMicros / 2), this::queryPeers);
        queryIntervalMicros = Math.min(MAX_QUERY_INTERVAL_MICROS, 2 * queryIntervalMicros);
    }

    private void sendQuery(int peer) {
        long nonce = random.nextLong();
        pendingQueries.put(nonce, new PendingQuery(peer, time.now()));
        sender.send(peer, new ListMessage.Query(nonce, listAgeMillis()).encode());
    }

    private int listAgeMillis() {
        return millisSince(confirmation.lastCompleteMicros());
    }

    /** Returns the milliseconds since a time, rounded up so that an age is never understated. */
    private int millisSince(long micros) {
        return (int) Math.min(Integer.MAX_VALUE, (time.now() - micros + 999) / 1000);
    }

    private int discoveryDownMillis() {
        long downMicros = confirmation.lastUnreachableMicros();
        return time.now() - downMicros < ListConfirmation.MAX_LIST_AGE_MICROS
                ? millisSince(downMicros)
                : ListMessage.NoNewerList.NOT_DOWN;
    }

    /**
     * Handles a peer's datagram; one that can't be decoded is counted and dropped.
     *
     * @param from the sender's index in the tier
     * @return false if the datagram is of another kind than {@link ListMessage}
     */
    public boolean handleDatagram(int from, byte[] datagram) {
        if (!ListMessage.isListMessage(datagram)) {
            return false;
        }
        ListMessage message = ListMessage.decode(datagram);
        if (message instanceof ListMessage.Query query) {
            sendReply(from, query);
        } else if (message instanceof ListMessage.Reply reply) {
            handleReply(from, reply);
        } else if (message instanceof ListMessage.NoNewerList noNewerList) {
            handleNoNewerList(from, noNewerList);
        } else {
            counters.increment(Count.PEER_BAD);
        }
        return true;
    }

    private void sendReply(int from, ListMessage.Query query) {
        List<ListMessage.Reply> parts = confirmation.isConfirmed() && listAgeMillis() < query.ageMillis()
                ? ListMessage.toParts(query.nonce(), inventory.version(), listAgeMillis(), inventory.runningTags())
                : List.of();
        if (parts.isEmpty()) {
            sender.send(from, new ListMessage.NoNewerList(query.nonce(), discoveryDownMillis()).encode());
        }
        parts.forEach(part -> sender.send(from, part.encode()));
    }

    private void handleReply(int from, ListMessage.Reply reply) {
        PendingQuery query = pendingQueries.get(reply.nonce());
        if (query == null || query.peer != from) {
            counters.increment(Count.PEER_BAD);
            return;
        }
        query.parts.put(reply.partIndex(), reply);
        if (query.parts.size() < reply.partCount()) {
            return;
        }
        pendingQueries.remove(reply.nonce());
        if (reply.version() < inventory.version()) {
            return; // the peer's list is older, however recently it was confirmed
        }
        Set<Integer> runningTags = new HashSet<>();
        query.parts.values().forEach(part -> runningTags.addAll(part.runningTags()));
        ServerList list = inventory.stopAllExcept(runningTags, reply.version());
        confirmation.recordComplete(query.sentMicros - reply.ageMillis() * 1000L);
        if (list != null) {
            listener.accept(list);
        }
        confirmedTask.run();
    }

    private void handleNoNewerList(int from, ListMessage.NoNewerList noNewerList) {
        PendingQuery query = pendingQueries.remove(noNewerList.nonce());
        if (query == null || query.peer != from) {
            counters.increment(Count.PEER_BAD);
        } else {
            confirmation.peerHasNoNewerList(time.now());
            if (noNewerList.downMillis() != ListMessage.NoNewerList.NOT_DOWN) {
                confirmation.recordUnreachable(query.sentMicros - noNewerList.downMillis() * 1000L);
            }
        }
    }
}
