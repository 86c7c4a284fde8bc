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
        void tell(int peer, byte[] content);
    }

    /** Others asked at a time: word from one of n reaches all in about log2(n) rounds, also where some are lost. */
    private static final int ASKED = 3;
    /** The first pause before others are asked: longer than there and back, so that what was answered isn't asked again. */
    private static final long FIRST_PAUSE_MICROS = 100_000;
    /** The longest pause: the list has to be confirmed every 6 s, and an answer may be lost, and age on its way by others. */
    private static final long MOST_PAUSE_MICROS = 1_000_000;
    /** An answer that comes later is as good as lost: what it says has aged with it. */
    private static final long ANSWER_WITHIN_MICROS = 2_000_000;

    private final int self;
    private final int balancers;
    private final Time time;
    private final Random random;
    private final Inventory inventory;
    private final ListConfirmation confirmation;
    private final Counters counters;
    private final Sender sender;
    private final Consumer<ServerList> events;
    private Runnable confirmed = () -> {};
    private final Map<Long, Asked> questions = new HashMap<>();
    private long pauseMicros;
    private Time.Timer next;

    /** A question that is out, and the parts of its answer so far. */
    private static final class Asked {
        final int peer;
        final long atMicros;
        final Map<Integer, ListMessage.Answer> parts = new HashMap<>();

        Asked(int peer, long atMicros) {
            this.peer = peer;
            this.atMicros = atMicros;
        }
    }

    /**
     * @param self      this balancer's number among {@code balancers}
     * @param events    hears of hosts that another one's word has stopped
     */
    public ListExchange(
            int self,
            int balancers,
            long seed,
            Time time,
            Inventory inventory,
            ListConfirmation confirmation,
            Counters counters,
            Sender sender,
            Consumer<ServerList> events) {
        this.self = self;
        this.balancers = balancers;
        this.time = time;
        this.inventory = inventory;
        this.confirmation = confirmation;
        this.counters = counters;
        this.sender = sender;
        this.events = events;
        random = new Random(seed);
    }

    /** Has a task run each time another one's word has confirmed the list. */
    public void whenConfirmed(Runnable task) {
        confirmed = task;
    }

    /** Begins to ask others, unless a watch is up or it asks already. */
    public void seek() {
        if (next == null && !confirmation.watched() && balancers > 1) {
            pauseMicros = FIRST_PAUSE_MICROS;
            ask();
        }
    }

    private void ask() {
        next = null;
        questions.values().removeIf(q -> time.now() - q.atMicros > ANSWER_WITHIN_MICROS);
        if (confirmation.watched()) {
            return;
        }
        Set<Integer> peers = new HashSet<>();
        while (peers.size() < Math.min(ASKED, balancers - 1)) {
            int peer = random.nextInt(balancers);
            if (peer != self && peers.add(peer)) {
                askOne(peer);
            }
        }
        next = time.after(pauseMicros / 2 + (long) (random.nextDouble() * pauseMicros / 2), this::ask);
        pauseMicros = Math.min(MOST_PAUSE_MICROS, 2 * pauseMicros);
    }

    private void askOne(int peer) {
        long nonce = random.nextLong();
        questions.put(nonce, new Asked(peer, time.now()));
        sender.tell(peer, new ListMessage.Question(nonce, ageMillis()).encode());
    }

    private int ageMillis() {
        return millisSince(confirmation.completeMicros());
    }

    /** Rounded up: what is told is never younger than it is. */
    private int millisSince(long micros) {
        return (int) Math.min(Integer.MAX_VALUE, (time.now() - micros + 999) / 1000);
    }

    private int downMillis() {
        long down = confirmation.unreachableMicros();
        return time.now() - down < ListConfirmation.TOLD_MICROS ? millisSince(down) : ListMessage.NoAnswer.NOT_DOWN;
    }

    /** Takes a datagram of another balancer; false if it isn't about lists. */
    public boolean heard(int from, byte[] content) {
        if (!ListMessage.concerns(content)) {
            return false;
        }
        ListMessage message = ListMessage.decode(content);
        if (message instanceof ListMessage.Question question) {
            answer(from, question);
        } else if (message instanceof ListMessage.Answer answer) {
            answered(from, answer);
        } else if (message instanceof ListMessage.NoAnswer none) {
            noAnswer(from, none);
        } else {
            counters.add(Count.PEER_BAD);
        }
        return true;
    }

    private void answer(int from, ListMessage.Question question) {
        List<ListMessage.Answer> parts = confirmation.confirmed() && ageMillis() < question.ageMillis()
                ? ListMessage.parts(question.nonce(), inventory.version(), ageMillis(), inventory.running())
                : List.of();
        if (parts.isEmpty()) {
            sender.tell(from, new ListMessage.NoAnswer(question.nonce(), downMillis()).encode());
        }
        parts.forEach(part -> sender.tell(from, part.encode()));
    }

    private void answered(int from, ListMessage.Answer answer) {
        Asked asked = questions.get(answer.nonce());
        if (asked == null || asked.peer != from) {
            counters.add(Count.PEER_BAD);
            return;
        }
        asked.parts.put(answer.part(), answer);
        if (asked.parts.size() < answer.parts()) {
            return;
        }
        questions.remove(answer.nonce());
        if (answer.version() < inventory.version()) {
            return; // it knows less, of whatever time
        }
        Set<Integer> running = new HashSet<>();
        asked.parts.values().forEach(part -> running.addAll(part.running()));
        ServerList list = inventory.stopAllBut(running, answer.version());
        confirmation.complete(asked.atMicros - answer.ageMillis() * 1000L);
        if (list != null) {
            events.accept(list);
        }
        confirmed.run();
    }

    private void noAnswer(int from, ListMessage.NoAnswer none) {
        Asked asked = questions.remove(none.nonce());
        if (asked == null || asked.peer != from) {
            counters.add(Count.PEER_BAD);
        } else {
            confirmation.noneKnows(time.now());
            if (none.downMillis() != ListMessage.NoAnswer.NOT_DOWN) {
                confirmation.unreachable(asked.atMicros - none.downMillis() * 1000L);
            }
        }
    }
}
