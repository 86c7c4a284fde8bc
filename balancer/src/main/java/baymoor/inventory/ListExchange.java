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
 * Lets one watch of discovery serve many balancers. One that has no watch asks a few others at random which hosts run, and
 * asks on until its own watch is up; in ordinary times nothing is sent. An answer may stop the use of a host, never begin it,
 * and confirms the list held as of the time for which the other one knew it: those without a watch pass on what they were
 * told, with its age. The nonce ties an answer to its question, so that a late or repeated one can't be taken for a fresh one.
 */
public final class ListExchange {

    /** Sends a datagram to the balancer with a number. */
    @FunctionalInterface
    public interface Sender {
        void send(int peer, byte[] datagram);
    }

    /** Others asked at a time: word from one of n reaches all in about log2(n) rounds, also where some are lost. */
    private static final int QUERY_FANOUT = 3;
    /** The first pause before others are asked: longer than there and back, so that what was answered isn't asked again. */
    private static final long INITIAL_QUERY_INTERVAL_MICROS = 100_000;
    /** The longest pause: the list has to be confirmed every 6 s, and an answer may be lost, and age on its way by others. */
    private static final long MAX_QUERY_INTERVAL_MICROS = 1_000_000;
    /** An answer that comes later is as good as lost: what it says has aged with it. */
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

    /** A question that is out, and the parts of its answer so far. */
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
     * @param selfIndex      this balancer's number among {@code balancerCount}
     * @param listener    hears of hosts that another one's word has stopped
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

    /** Has a task run each time another one's word has confirmed the list. */
    public void whenConfirmed(Runnable task) {
        confirmedTask = task;
    }

    /** Begins to ask others, unless a watch is up or it asks already. */
    public void seek() {
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
        nextQueryTimer = time.after(
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

    /** Rounded up: what is told is never younger than it is. */
    private int millisSince(long micros) {
        return (int) Math.min(Integer.MAX_VALUE, (time.now() - micros + 999) / 1000);
    }

    private int discoveryDownMillis() {
        long downMicros = confirmation.lastUnreachableMicros();
        return time.now() - downMicros < ListConfirmation.MAX_LIST_AGE_MICROS
                ? millisSince(downMicros)
                : ListMessage.NoNewerList.NOT_DOWN;
    }

    /** Takes a datagram of another balancer; false if it isn't about lists. */
    public boolean heard(int from, byte[] datagram) {
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
            counters.add(Count.PEER_BAD);
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
            counters.add(Count.PEER_BAD);
            return;
        }
        query.parts.put(reply.partIndex(), reply);
        if (query.parts.size() < reply.partCount()) {
            return;
        }
        pendingQueries.remove(reply.nonce());
        if (reply.version() < inventory.version()) {
            return; // it knows less, of whatever time
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
            counters.add(Count.PEER_BAD);
        } else {
            confirmation.peerHasNoNewerList(time.now());
            if (noNewerList.downMillis() != ListMessage.NoNewerList.NOT_DOWN) {
                confirmation.recordUnreachable(query.sentMicros - noNewerList.downMillis() * 1000L);
            }
        }
    }
}
