package baymoor.north;

import baymoor.link.Link;
import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import baymoor.resp.RespWriter;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * The replies of one client connection, sent in the order of its commands, and the memory that they are charged with until they
 * have been sent.
 */
final class ReplyQueue {

    /** With this many writes unsent, no more replies are written. */
    private static final int MAX_UNSENT_REPLIES = 128;

    private static final int MAX_COALESCED_REJECTIONS = 1024;
    private static final long RETRY_AFTER_MICROS = 1_000_000;
    private static final byte[] BUSY_REPLY = RespWriter.error(busyError(RETRY_AFTER_MICROS));

    private final Link link;
    private final ClientMemory memory;
    private final Deque<PendingReply> replies = new ArrayDeque<>();
    /** What each write that has not been sent yet is charged with, in their order. */
    private final Deque<Integer> unsentWriteCharges = new ArrayDeque<>();

    private int unsentWrites;
    private long chargedBytes;

    ReplyQueue(Link link, ClientMemory memory) {
        this.link = link;
        this.memory = memory;
    }

    /** Returns whether no reply is pending; replies that have been written may still be unsent. */
    boolean isEmpty() {
        return replies.isEmpty();
    }

    int size() {
        return replies.size();
    }

    int unsentWrites() {
        return unsentWrites;
    }

    /** Adds a place whose reply is still to come; it holds back those behind it. */
    void add(PendingReply pending) {
        replies.addLast(pending);
    }

    /** Adds a reply to a command of this client. */
    void add(RespClient client, byte[] reply) {
        PendingReply pending = new PendingReply(client, 0, 0, 0);
        pending.reply = reply;
        replies.addLast(pending);
    }

    /**
     * Adds a busy reply. Consecutive ones share a place with a count, so that their number takes no memory.
     *
     * @return whether it has a place of its own
     */
    boolean addBusy(RespClient client) {
        PendingReply last = replies.peekLast();
        if (last != null && last.reply == BUSY_REPLY) {
            last.repeatCount++;
            return false;
        }
        add(client, BUSY_REPLY);
        return true;
    }

    /** Sets the reply of a place and charges its size. */
    void complete(PendingReply pending, Answer answer) {
        pending.reply = encode(answer);
        pending.chargedBytes = pending.reply.length;
        charge(pending.chargedBytes);
    }

    private static byte[] encode(Answer answer) {
        if (answer instanceof Answer.Served served) {
            return RespWriter.bulk(served.value());
        }
        return RespWriter.error(
                answer instanceof Answer.BackOff backOff ? busyError(backOff.afterMicros()) : "ERR failed");
    }

    private static String busyError(long micros) {
        return micros > 0 ? "BUSY " + (micros + 999) / 1000 : "BUSY";
    }

    /** Returns whether a reply can be written now. */
    boolean isReady() {
        return !replies.isEmpty() && replies.peekFirst().reply != null && unsentWrites < MAX_UNSENT_REPLIES;
    }

    /** Writes the first reply, or as many of its repetitions as go into one write. */
    void writeNext() {
        PendingReply first = replies.peekFirst();
        int batch = Math.min(first.repeatCount, MAX_COALESCED_REJECTIONS);
        first.repeatCount -= batch;
        if (first.repeatCount == 0) {
            replies.removeFirst();
        }
        unsentWrites++;
        unsentWriteCharges.addLast(first.chargedBytes);
        link.write(batch == 1 ? first.reply : RespWriter.repeat(first.reply, batch));
    }

    /** Handles that the oldest unsent write has been sent. */
    void sent() {
        unsentWrites--;
        Integer charged = unsentWriteCharges.pollFirst();
        charge(charged == null ? 0 : -charged);
    }

    /** Drops all replies and returns them. */
    List<PendingReply> clear() {
        List<PendingReply> dropped = List.copyOf(replies);
        replies.clear();
        unsentWriteCharges.clear();
        charge(-chargedBytes);
        return dropped;
    }

    private void charge(long bytes) {
        memory.add(Part.UNSENT_REPLIES, bytes);
        chargedBytes += bytes;
    }
}
