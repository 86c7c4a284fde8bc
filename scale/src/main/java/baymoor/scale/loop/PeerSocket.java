package baymoor.scale.loop;

import baymoor.peers.PeerLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.function.BiConsumer;

/** The socket on which one balancer hears the others and tells them. */
public final class PeerSocket implements PeerLink, DecisionLoop.Ready {

    private static final int LONGEST_DATAGRAM = 2048;
    /** All others may tell at once; the kernel counts some 800 bytes for each of their datagrams. */
    private static final int RECEIVE_BUFFER = 2 << 20;
    /** Read in a row before other sockets of the loop have their turn. */
    private static final int MOST_IN_A_ROW = 64;

    private final DatagramChannel channel;
    private final BiConsumer<InetSocketAddress, byte[]> received;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(LONGEST_DATAGRAM);
    private final ByteBuffer sending = ByteBuffer.allocateDirect(LONGEST_DATAGRAM);
    private final InetSocketAddress address;
    private long unsent;

    public PeerSocket(DecisionLoop loop, InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> received)
            throws IOException {
        this.received = received;
        channel = DatagramChannel.open();
        channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER);
        channel.configureBlocking(false);
        channel.bind(address);
        this.address = (InetSocketAddress) channel.getLocalAddress();
        channel.register(loop.selector(), SelectionKey.OP_READ, this);
    }

    /** Where it receives and sends from. */
    public InetSocketAddress address() {
        return address;
    }

    /** Datagrams that the kernel refused to take. */
    public long unsent() {
        return unsent;
    }

    @Override
    public void send(InetSocketAddress to, byte[] content) {
        sending.clear();
        sending.put(content).flip();
        try {
            if (channel.send(sending, to) == 0) {
                unsent++;
            }
        } catch (IOException e) {
            unsent++; // lost, as any datagram may be
        }
    }

    @Override
    public void ready(SelectionKey key) throws IOException {
        for (int i = 0; i < MOST_IN_A_ROW; i++) {
            buffer.clear();
            InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
            if (from == null) {
                return;
            }
            byte[] bytes = new byte[buffer.flip().remaining()];
            buffer.get(bytes);
            received.accept(from, bytes);
        }
    }

    /** Closes it; what is sent on it from then on is lost. */
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is sent or heard here any more in any case.
        }
    }
}
