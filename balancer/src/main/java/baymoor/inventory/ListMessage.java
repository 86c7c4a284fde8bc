package baymoor.inventory;

import baymoor.peers.Peers;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Datagrams by which balancers exchange the server list. The first byte is the message type; program versions that don't
 * know it pass the datagram to the decision module, which ignores all types but its own.
 */
sealed interface ListMessage {

    byte QUERY = 0x51;
    byte REPLY = 0x52;
    byte NO_NEWER_LIST = 0x53;

    /** Running hosts that fit into one datagram. */
    int MAX_TAGS = (Peers.MAX_DATAGRAM_BYTES - Reply.HEADER_BYTES) / Integer.BYTES;
    /** Datagrams of one reply at most, enough for about 1,800 hosts. */
    int MAX_PARTS = 32;

    /** Returns whether a datagram has one of these message types, well-formed or not. */
    static boolean isListMessage(byte[] datagram) {
        return datagram.length > 0 && datagram[0] >= QUERY && datagram[0] <= NO_NEWER_LIST;
    }

    /**
     * Returns the low 32 bits of a host's id. Two hosts share a tag with a chance of one in 4 billion; then a stop of one of them is
     * missed.
     */
    static int tag(long id) {
        return (int) id;
    }

    /** Returns the datagram's bytes, in network byte order. */
    byte[] encode();

    /** Asks a peer for its running hosts, if its list was confirmed less than {@code ageMillis} ago. */
    record Query(long nonce, int ageMillis) implements ListMessage {
        static final int BYTES = 1 + Long.BYTES + Integer.BYTES;

        @Override
        public byte[] encode() {
            return ByteBuffer.allocate(BYTES)
                    .put(QUERY)
                    .putLong(nonce)
                    .putInt(ageMillis)
                    .array();
        }
    }

    /** One part of a reply: running hosts of a list with the given version that was complete {@code ageMillis} ago. */
    record Reply(long nonce, long version, int ageMillis, int partIndex, int partCount, List<Integer> runningTags)
            implements ListMessage {
        static final int HEADER_BYTES = 1 + 2 * Long.BYTES + Integer.BYTES + 2;

        @Override
        public byte[] encode() {
            ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + Integer.BYTES * runningTags.size())
                    .put(REPLY)
                    .putLong(nonce)
                    .putLong(version)
                    .putInt(ageMillis)
                    .put((byte) partIndex)
                    .put((byte) partCount);
            runningTags.forEach(buffer::putInt);
            return buffer.array();
        }
    }

    /** Replies that the sender has no newer list, and how long ago discovery was unreachable, or {@link #NOT_DOWN}. */
    record NoNewerList(long nonce, int downMillis) implements ListMessage {
        static final int NOT_DOWN = -1;
        static final int BYTES = 1 + Long.BYTES + Integer.BYTES;

        @Override
        public byte[] encode() {
            return ByteBuffer.allocate(BYTES)
                    .put(NO_NEWER_LIST)
                    .putLong(nonce)
                    .putInt(downMillis)
                    .array();
        }
    }

    /** Splits a reply into datagrams; returns none if the list is too long for {@link #MAX_PARTS} of them. */
    static List<Reply> toParts(long nonce, long version, int ageMillis, List<Integer> runningTags) {
        int partCount = Math.max(1, (runningTags.size() + MAX_TAGS - 1) / MAX_TAGS);
        List<Reply> replies = new ArrayList<>();
        for (int partIndex = 0; partIndex < partCount && partCount <= MAX_PARTS; partIndex++) {
            int end = Math.min(runningTags.size(), (partIndex + 1) * MAX_TAGS);
            replies.add(new Reply(
                    nonce, version, ageMillis, partIndex, partCount, runningTags.subList(partIndex * MAX_TAGS, end)));
        }
        return replies;
    }

    /** Decodes a datagram; returns null if it is malformed or of another type. */
    static ListMessage decode(byte[] datagram) {
        if (!isListMessage(datagram)) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        if (datagram[0] == QUERY) {
            return datagram.length == Query.BYTES ? decodeQuery(buffer) : null;
        }
        if (datagram[0] == NO_NEWER_LIST) {
            return datagram.length == NoNewerList.BYTES ? decodeNoNewerList(buffer) : null;
        }
        return datagram.length >= Reply.HEADER_BYTES ? decodeReply(buffer) : null;
    }

    private static Query decodeQuery(ByteBuffer buffer) {
        Query query = new Query(buffer.getLong(), buffer.getInt());
        return query.ageMillis >= 0 ? query : null;
    }

    private static NoNewerList decodeNoNewerList(ByteBuffer buffer) {
        NoNewerList message = new NoNewerList(buffer.getLong(), buffer.getInt());
        return message.downMillis >= NoNewerList.NOT_DOWN ? message : null;
    }

    private static Reply decodeReply(ByteBuffer buffer) {
        long nonce = buffer.getLong();
        long version = buffer.getLong();
        int ageMillis = buffer.getInt();
        int partIndex = buffer.get();
        int partCount = buffer.get();
        int tagCount = buffer.remaining() / Integer.BYTES;
        boolean wellFormed = buffer.remaining() % Integer.BYTES == 0
                && tagCount <= MAX_TAGS
                && (partIndex == partCount - 1 || tagCount == MAX_TAGS);
        if (!wellFormed
                || version < 0
                || ageMillis < 0
                || partIndex < 0
                || partIndex >= partCount
                || partCount > MAX_PARTS) {
            return null;
        }
        List<Integer> runningTags = new ArrayList<>(tagCount);
        while (buffer.hasRemaining()) {
            runningTags.add(buffer.getInt());
        }
        return new Reply(nonce, version, ageMillis, partIndex, partCount, runningTags);
    }
}
