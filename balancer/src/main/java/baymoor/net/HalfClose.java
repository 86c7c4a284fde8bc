package baymoor.net;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/** The end of one direction of a connection, which MINA offers no call for: its session's channel is reached by reflection. */
final class HalfClose {

    private static final Field CHANNEL = channel();

    private HalfClose() {}

    private static Field channel() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("MINA's sessions hold no channel", e);
        }
    }

    /** Something to write that is nothing: it stands in the queue of writes and leaves no byte. */
    static IoBuffer marker() {
        return IoBuffer.allocate(0);
    }

    static boolean isMarker(Object message) {
        return message instanceof IoBuffer buffer && buffer.capacity() == 0;
    }

    /** Sends this side's end; a connection that is broken already needs none. */
    static void shutdownOutput(IoSession session) {
        try {
            ((SocketChannel) CHANNEL.get(session)).shutdownOutput();
        } catch (IOException e) {
            session.closeNow();
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }
}
