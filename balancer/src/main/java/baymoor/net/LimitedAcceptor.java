package baymoor.net;

import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts connections within the limit of a {@link ConnectionLimiter}, and tells for each how long it may have waited in the
 * listener's queue, but for the moment in which this thread wakes up for a connection.
 */
final class LimitedAcceptor extends NioSocketAcceptor {

    /** The most connections that wait to be accepted. */
    private static final int BACKLOG = 512;

    private final ConnectionLimiter limiter;
    private final Map<IoSession, Long> queuedMicros = new ConcurrentHashMap<>();
    /** Used on the acceptor's thread only, as is {@link #looksFirst}. */
    private final AcceptQueue queue;
    /** Whether the next selection looks without waiting, to learn whether the queue is empty. */
    private boolean looksFirst = true;

    LimitedAcceptor(IoProcessor<NioSession> processor, ConnectionLimiter limiter) {
        super(processor);
        this.limiter = limiter;
        queue = new AcceptQueue(BACKLOG, System.nanoTime());
        setBacklog(BACKLOG);
    }

    @Override
    protected ServerSocketChannel open(SocketAddress localAddress) throws Exception {
        queue.foundEmpty(System.nanoTime());
        return super.open(localAddress);
    }

    /** Looks for connections and returns; the call after one that found none waits for the next connection. */
    @Override
    protected int select() throws Exception {
        if (looksFirst) {
            wakeup(); // makes the selection return at once
        }
        long startNanos = System.nanoTime();
        int ready = super.select();
        if (looksFirst && ready > 0) {
            return ready;
        }
        // Without a look first it has waited until now, if for a connection, then since its arrival.
        queue.foundEmpty(looksFirst ? startNanos : System.nanoTime());
        looksFirst = !looksFirst;
        return ready;
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> ioProcessor, ServerSocketChannel handle) throws Exception {
        limiter.awaitCapacity();
        NioSession session = super.accept(ioProcessor, handle);
        if (session != null) {
            limiter.connectionOpened();
            queuedMicros.put(session, queue.accepted(System.nanoTime()));
        }
        return session;
    }

    /** Returns how many microseconds an accepted connection may have waited in the queue, at most, and forgets it. */
    long takeQueuedMicros(IoSession session) {
        Long micros = queuedMicros.remove(session);
        return micros == null ? 0 : micros;
    }
}
