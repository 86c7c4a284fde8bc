package baymoor.scale.loop;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** A connection over TCP on a decision loop's selector, as a balancer's state machines see it: to discovery. */
public final class StreamLink implements Link, DecisionLoop.Ready {

    /** Hears how many bytes went over a connection. */
    public interface Meter {
        /** So many bytes came in. */
        void received(int bytes);

        /** So many bytes have left. */
        void sent(int bytes);
    }

    private static final int READ_BUFFER = 64 * 1024;
    private static final ThreadLocal<ByteBuffer> BUFFER =
            ThreadLocal.withInitial(() -> ByteBuffer.allocate(READ_BUFFER));

    private final DecisionLoop loop;
    private final LinkEvents events;
    private final Meter meter;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private SocketChannel channel;
    private SelectionKey key;
    private boolean finishing;
    private boolean over;

    private StreamLink(DecisionLoop loop, LinkEvents events, Meter meter) {
        this.loop = loop;
        this.events = events;
        this.meter = meter;
    }

    /** Opens a connection; one that fails is told as closed. */
    public static StreamLink dial(DecisionLoop loop, InetSocketAddress to, LinkEvents events, Meter meter) {
        StreamLink link = new StreamLink(loop, events, meter);
        try {
            link.channel = SocketChannel.open();
            link.channel.configureBlocking(false);
            link.channel.connect(to);
            link.key = link.channel.register(loop.selector(), SelectionKey.OP_CONNECT, link);
        } catch (IOException e) {
            link.close();
        }
        return link;
    }

    @Override
    public void ready(SelectionKey selected) {
        try {
            if (selected.isValid() && selected.isConnectable()) {
                channel.finishConnect();
                key.interestOps(SelectionKey.OP_READ);
                events.opened();
            }
            if (selected.isValid() && selected.isReadable()) {
                read();
            }
            if (selected.isValid() && selected.isWritable()) {
                flush();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void read() throws IOException {
        ByteBuffer buffer = BUFFER.get().clear();
        int count = channel.read(buffer);
        if (count < 0) {
            close();
        } else if (count > 0) {
            byte[] bytes = new byte[count];
            buffer.flip().get(bytes);
            meter.received(count);
            events.received(bytes);
        }
    }

    private void flush() throws IOException {
        while (!unsent.isEmpty()) {
            ByteBuffer first = unsent.peekFirst();
            meter.sent(channel.write(first));
            if (first.hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            unsent.removeFirst();
            loop.schedule(0, events::written);
        }
        key.interestOps(SelectionKey.OP_READ);
        if (finishing) {
            channel.shutdownOutput();
            loop.schedule(0, events::outputShutDown);
            finishing = false;
        }
    }

    @Override
    public void write(byte[] bytes) {
        if (over) {
            return;
        }
        unsent.addLast(ByteBuffer.wrap(bytes));
        try {
            flush();
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public void close() {
        if (over) {
            return;
        }
        over = true;
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // It is closed as far as this side can tell.
            }
        }
        loop.schedule(0, events::closed);
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        if (over) {
            return;
        }
        finishing = true;
        try {
            flush();
        } catch (IOException e) {
            close();
        }
    }

    @Override
    public boolean hasUnreadBytes() {
        return false;
    }

    @Override
    public boolean isClosed() {
        return over;
    }

    @Override
    public void setReading(boolean on) {
        if (!over && key != null && key.isValid()) {
            key.interestOps(on ? SelectionKey.OP_READ : 0);
        }
    }
}
