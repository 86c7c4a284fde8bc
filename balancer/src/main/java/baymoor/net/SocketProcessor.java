package baymoor.net;

import java.util.concurrent.Executor;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's I/O loop with a correct update of what a session's selection key is interested in.
 *
 * <p>MINA's own update, which every change of reading makes, asks only the queue of writes whether there is something to send. A
 * write that the socket has accepted in part has left that queue: the interest in writing would be dropped, and the rest of the
 * write sent only when another write follows. MINA also makes the update on the calling thread, where it can undo a change that
 * the I/O thread makes at the same moment.
 */
final class SocketProcessor extends NioProcessor {

    private volatile Thread ioThread;

    /** @param executor runs the I/O loop, on one thread at a time */
    SocketProcessor(Executor executor) {
        super(executor);
    }

    @Override
    protected void init(NioSession session) throws Exception {
        ioThread = Thread.currentThread();
        super.init(session);
    }

    /** Updates the session's interests, on the I/O thread only; a call on another thread is handed over to it. */
    @Override
    public void updateTrafficControl(NioSession session) {
        if (Thread.currentThread() != ioThread) {
            updateTrafficMask(session);
            return;
        }
        try {
            setInterestedInRead(session, !session.isReadSuspended());
            setInterestedInWrite(session, hasUnsentBytes(session) && !session.isWriteSuspended());
        } catch (Exception e) {
            session.getFilterChain().fireExceptionCaught(e);
        }
    }

    private static boolean hasUnsentBytes(NioSession session) {
        return session.getCurrentWriteRequest() != null
                || !session.getWriteRequestQueue().isEmpty(session);
    }
}
