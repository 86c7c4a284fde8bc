package baymoor.inventory;

import baymoor.peers.Peers;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Datagrams between balancers about the list. The first byte names the kind; a version of the program that doesn't know it
 * hands the datagram to its decisions, which pass over all that doesn't begin with their own kind.
 */
sealed interface ListMessage {

    byte QUESTION = 0x51;
    byte ANSWER = 0x52;
    byte NO_ANSWER = 0x53;

    /** Which running hosts fit one datagram. */
    int MOST_TAGS = (Peers.LONGEST - Answer.HEAD_BYTES) / Integer.BYTES;
    /** Datagrams of one answer at the most: some 1,800 hosts. */
    int MOST_PARTS = 32;

    /** Whether a datagram is of these kinds, readable or not. */
    static boolean concerns(byte[] content) {
        return content.length > 0 && content[0] >= QUESTION && content[0] <= NO_ANSWER;
    }

    /** Names a host by 32 bits of its id. Two that share them are one in 4 billion, and the peer's word is just not heard then. */
    static int tag(long id) {
        return (int) id;
    }

    byte[] encode();

    /** Asks for what runs by the list of someone who knows it later than {@code ageMillis} ago. */
    record Question(long nonce, int ageMillis) implements ListMessage {
        static final int BYTES = 1 + Long.BYTES + Integer.BYTES;

        @Override
        public byte[] encode() {
            return ByteBuffer.allocate(BYTES)
                    .put(QUESTION)
                    .putLong(nonce)
                    .putInt(ageMillis)
                    .array();
        }
    }

    /** One of the parts of an answer: hosts that run by a list of this version, complete that long ago. */
    record Answer(long nonce, long version, int ageMillis, int part, int parts, List<Integer> running)
            implements ListMessage {
        static final int HEAD_BYTES = 1 + 2 * Long.BYTES + Integer.BYTES + 2;

        @Override
        public byte[] encode() {
            ByteBuffer b = ByteBuffer.allocate(HEAD_BYTES + Integer.BYTES * running.size())
                    .put(ANSWER)
                    .putLong(nonce)
                    .putLong(version)
                    .putInt(ageMillis)
                    .put((byte) part)
                    .put((byte) parts);
            running.forEach(b::putInt);
            return b.array();
        }
    }

    /** Says that the sender knows no later list, and how long ago discovery was found to be down; {@link #NOT_DOWN} if not. */
    record NoAnswer(long nonce, int downMillis) implements ListMessage {
        static final int NOT_DOWN = -1;
        static final int BYTES = 1 + Long.BYTES + Integer.BYTES;

        @Override
        public byte[] encode() {
            return ByteBuffer.allocate(BYTES)
                    .put(NO_ANSWER)
                    .putLong(nonce)
                    .putInt(downMillis)
                    .array();
        }
    }

    /** The answer's datagrams, or none where the list is too long for them. */
    static List<Answer> parts(long nonce, long version, int ageMillis, List<Integer> running) {
        int parts = Math.max(1, (running.size() + MOST_TAGS - 1) / MOST_TAGS);
        List<Answer> answers = new ArrayList<>();
        for (int part = 0; part < parts && parts <= MOST_PARTS; part++) {
            int end = Math.min(running.size(), (part + 1) * MOST_TAGS);
            answers.add(new Answer(nonce, version, ageMillis, part, parts, running.subList(part * MOST_TAGS, end)));
        }
        return answers;
    }

    /** Reads a datagram; null for one that no version of this program sends. */
    static ListMessage decode(byte[] content) {
        if (!concerns(content)) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(content, 1, content.length - 1);
        if (content[0] == QUESTION) {
            return content.length == Question.BYTES ? question(b) : null;
        }
        if (content[0] == NO_ANSWER) {
            return content.length == NoAnswer.BYTES ? noAnswer(b) : null;
        }
        return content.length >= Answer.HEAD_BYTES ? answer(b) : null;
    }

    private static Question question(ByteBuffer b) {
        Question question = new Question(b.getLong(), b.getInt());
        return question.ageMillis >= 0 ? question : null;
    }

    private static NoAnswer noAnswer(ByteBuffer b) {
        NoAnswer none = new NoAnswer(b.getLong(), b.getInt());
        return none.downMillis >= NoAnswer.NOT_DOWN ? none : null;
    }

    private static Answer answer(ByteBuffer b) {
        long nonce = b.getLong();
        long version = b.getLong();
        int ageMillis = b.getInt();
        int part = b.get();
        int parts = b.get();
        int tags = b.remaining() / Integer.BYTES;
        boolean whole =
                b.remaining() % Integer.BYTES == 0 && tags <= MOST_TAGS && (part == parts - 1 || tags == MOST_TAGS);
        if (!whole || version < 0 || ageMillis < 0 || part < 0 || part >= parts || parts > MOST_PARTS) {
            return null;
        }
        List<Integer> running = new ArrayList<>(tags);
        while (b.hasRemaining()) {
            running.add(b.getInt());
        }
        return new Answer(nonce, version, ageMillis, part, parts, running);
    }
}
