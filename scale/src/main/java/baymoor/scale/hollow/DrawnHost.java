package baymoor.scale.hollow;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.resp.RespWriter;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.Work;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A connection to a router or the origin without a socket: what is written to it is answered as the drawn world has it. */
final class DrawnHost implements Link {

    private static final long CONNECT_MICROS = 500;
    private static final byte[] PONG = RespWriter.utf8("+PONG\r\n");
    private static final byte[] MISS = RespWriter.utf8("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");

    private final DecisionLoop loop;
    private final DrawnWorld world;
    private final InetSocketAddress address;
    private final LinkEvents events;
    private boolean over;

    DrawnHost(DecisionLoop loop, DrawnWorld world, InetSocketAddress address, LinkEvents events) {
        this.loop = loop;
        this.world = world;
        this.address = address;
        this.events = events;
        loop.after(CONNECT_MICROS, Work.SERVING, () -> {
            if (!over) {
                events.opened();
            }
        });
    }

    /** The answer of a router that holds the key, with a value of so many bytes. */
    static byte[] hit(int valueBytes) {
        return RespWriter.utf8("*3\r\n$" + valueBytes + "\r\n" + "v".repeat(valueBytes) + "\r\n$3\r\nhit\r\n$-1\r\n");
    }

    /** The answer of the origin, with a value of so many bytes. */
    static byte[] fetched(int valueBytes) {
        return RespWriter.utf8(
                "HTTP/1.1 200 OK\r\nContent-Length: " + valueBytes + "\r\n\r\n" + "v".repeat(valueBytes));
    }

    @Override
    public void write(byte[] bytes) {
        loop.after(0, Work.SERVING, () -> {
            if (!over) {
                events.written();
            }
        });
        loop.as(Work.TOOL, () -> draw(bytes));
    }

    private void draw(byte[] bytes) {
        String start = new String(bytes, 0, Math.min(bytes.length, 16), StandardCharsets.ISO_8859_1);
        if (start.startsWith("*1")) {
            answer(world.routerMicros() / 4, PONG);
        } else if (start.startsWith("*")) {
            boolean held = world.routerHolds(address);
            answer(held ? world.routerMicros() : world.routerMicros() / 4, held ? hit(world.valueBytes()) : MISS);
        } else {
            answer(world.originMicros(), fetched(world.valueBytes()));
        }
    }

    private void answer(long micros, byte[] bytes) {
        loop.after(micros, Work.SERVING, () -> {
            if (!over) {
                events.received(bytes);
            }
        });
    }

    @Override
    public void close() {
        if (!over) {
            over = true;
            loop.after(0, Work.SERVING, events::closed);
        }
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        close();
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
        // Nothing is read from a connection of which nothing is written but answers.
    }
}
