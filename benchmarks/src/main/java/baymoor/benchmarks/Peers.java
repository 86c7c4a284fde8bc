package baymoor.benchmarks;

import java.nio.ByteBuffer;
import merlinstep.Decisions.PeerMessage;

/** Messages of the other balancers, each with a sequence number above the sender's last one. */
final class Peers {

    /** Place of the sequence number in a message, after the version and the sender's incarnation. */
    private static final int SEQUENCE_OFFSET = 3;

    private final int balancers;
    private final ByteBuffer content;
    private int sender;
    private int sequence;

    /** Takes the content of all messages from a real instance, number 1, that reports so many busy routers. */
    Peers(TierSize size) {
        balancers = size.balancers();
        content = ByteBuffer.wrap(new Instance(size, 1).message(size.reported()));
        sequence = content.getInt(SEQUENCE_OFFSET);
    }

    int count() {
        return balancers - 1;
    }

    /** The next message, from each balancer but number 0 in turn. */
    PeerMessage next() {
        sender = sender % count() + 1;
        if (sender == 1) {
            sequence++;
        }
        content.putInt(SEQUENCE_OFFSET, sequence);
        return new PeerMessage(sender, content.array());
    }
}
