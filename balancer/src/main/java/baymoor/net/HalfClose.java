package baymoor.net;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.channels.SocketChannel;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * Shuts down the output of a connection and leaves its input open. MINA has no call for this, so the session's channel is
 * read by reflection.
 */
final class HalfClose {

    private static final Field CHANNEL = channel();

    private HalfClose() {}

    private static Field channel() {
        try {
            Field field = NioSession.class.getDeclaredField("channel");
            field.setAccessible(true);
            return field;
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("MINA's NioSession has no accessible field named channel", e);
        }
    }

    /** Returns an empty buffer that takes a place in the queue of writes and sends no byte. */
    static IoBuffer marker() {
        return IoBuffer.allocate(0);
    }

    static boolean isMarker(Object message) {
        return message instanceof IoBuffer buffer && buffer.capacity() == 0;
    }

    /** Sends FIN after all that was written; closes the session if the connection is broken already. */
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
