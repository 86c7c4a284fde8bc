package baymoor.net;

import baymoor.link.Dialer;
import baymoor.link.IgnoringLinkEvents;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.memory.ClientMemory;
import baymoor.peers.PeerLink;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * All sockets of the process, on Apache MINA with a single I/O processor, since all threads share one core. Its methods may be
 * called from any thread; handlers are called on the decision thread.
 */
public final class MinaNet implements Dialer, PeerLink {

    private static final String LINK_ATTRIBUTE = "link";
    private static final int READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 64 * 1024;

    private final DecisionThread thread;
    private final ExecutorService ioExecutor = Executors.newCachedThreadPool(task -> new Thread(task, "io"));
    private final SocketProcessor processor = new SocketProcessor(ioExecutor);
    private final NioSocketConnector connector = new NioSocketConnector(processor);
    private final ConnectionLimiter connectionLimiter;
    private final ClientMemory clientMemory;
    private final LimitedAcceptor acceptor;
    private final Map<SocketAddress, Function<Link, LinkEvents>> acceptHandlers = new ConcurrentHashMap<>();
    /** Takes the connections at every local address while there is a single listener, else null. */
    private volatile Function<Link, LinkEvents> soleAcceptHandler;

    private NioDatagramAcceptor datagrams;
    private InetSocketAddress peerAddress;

    /** Creates the sockets without a limit on accepted connections. */
    public MinaNet(DecisionThread thread) {
        this(thread, 0, null);
    }

    /**
     * Creates the sockets with a limit on accepted connections.
     *
     * @param maxConnections the highest number of open accepted connections, past which further ones wait in the listener's
     *                       backlog; 0 for no limit
     * @param clientMemory   is charged with what accepted connections make the program hold, or null
     */
    public MinaNet(DecisionThread thread, int maxConnections, ClientMemory clientMemory) {
        this.thread = thread;
        this.clientMemory = clientMemory;
        connectionLimiter = new ConnectionLimiter(maxConnections);
        acceptor = new LimitedAcceptor(processor, connectionLimiter);
        connector.setHandler(new Handler(false));
        configure(connector.getSessionConfig());
        configure(acceptor.getSessionConfig());
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setReuseAddress(true);
        config.setReadBufferSize(READ_BUFFER_BYTES);
        config.setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        config.setIdleTime(IdleStatus.BOTH_IDLE, 0);
    }

    /**
     * Listens at an address. May be called again for further addresses, each with a handler of its own; a wildcard address
     * has to be the only one.
     *
     * @param address       the address; port 0 picks a free one
     * @param acceptHandler is given each accepted connection, and returns the receiver of its events
     * @return the address that was bound
     */
    public synchronized InetSocketAddress listen(InetSocketAddress address, Function<Link, LinkEvents> acceptHandler)
            throws IOException {
        if (acceptHandlers.isEmpty()) {
            acceptor.setHandler(new Handler(true));
            acceptor.setReuseAddress(true);
        }
        if (address.getPort() != 0) { // before the bind, so that the first connection finds it
            acceptHandlers.put(address, acceptHandler);
        }
        Set<SocketAddress> addressesBefore = acceptor.getLocalAddresses();
        boolean isSoleListener = addressesBefore.isEmpty();
        soleAcceptHandler = isSoleListener ? acceptHandler : null;
        acceptor.bind(address);
        Set<SocketAddress> addressesAfter = acceptor.getLocalAddresses();
        addressesAfter.removeAll(addressesBefore);
        InetSocketAddress boundAddress =
                (InetSocketAddress) addressesAfter.iterator().next();
        acceptHandlers.put(boundAddress, acceptHandler);
        return boundAddress;
    }

    /** Stops listening at one address; accepted connections stay open. */
    public synchronized void stopListening(InetSocketAddress address) {
        acceptHandlers.remove(address);
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind(address);
    }

    /** Stops listening at all addresses; accepted connections stay open. */
    public void stopListening() {
        connectionLimiter.disable();
        acceptor.setCloseOnDeactivation(false);
        acceptor.unbind();
    }

    /**
     * Binds the datagram socket that receives from peers and sends to them.
     *
     * @return the address that was bound
     */
    public InetSocketAddress listenToPeers(
            InetSocketAddress address, BiConsumer<InetSocketAddress, byte[]> datagramHandler) throws IOException {
        datagrams = new NioDatagramAcceptor();
        datagrams.getSessionConfig().setReuseAddress(true);
        datagrams.getSessionConfig().setReadBufferSize(READ_BUFFER_BYTES);
        datagrams.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                byte[] bytes = toBytes(message);
                InetSocketAddress from = (InetSocketAddress) session.getRemoteAddress();
                thread.post(() -> datagramHandler.accept(from, bytes));
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                session.closeNow();
            }
        });
        datagrams.bind(address);
        peerAddress = datagrams.getLocalAddress();
        return peerAddress;
    }

    /** Closes all sockets and stops their threads. */
    public void close() {
        connectionLimiter.disable();
        acceptor.dispose();
        connector.dispose();
        if (datagrams != null) {
            datagrams.dispose();
        }
        processor.dispose();
        ioExecutor.shutdown();
    }

    @Override
    public void send(InetSocketAddress to, byte[] content) {
        if (datagrams != null) {
            datagrams.newSession(to, peerAddress).write(IoBuffer.wrap(content));
        }
    }

    @Override
    public Link dial(InetSocketAddress to, LinkEvents events) {
        MinaLink link = new MinaLink(thread, null);
        link.setEvents(events);
        ConnectFuture future = connector.connect(to, (session, f) -> session.setAttribute(LINK_ATTRIBUTE, link));
        link.onConnecting(future);
        return link;
    }

    private static byte[] toBytes(Object message) {
        IoBuffer buffer = (IoBuffer) message;
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    /** Returns the handler of connections accepted at a local address; ignores them if nothing listens there any more. */
    private Function<Link, LinkEvents> acceptHandler(SocketAddress localAddress) {
        Function<Link, LinkEvents> soleHandler = soleAcceptHandler;
        Function<Link, LinkEvents> known = soleHandler != null ? soleHandler : acceptHandlers.get(localAddress);
        if (known != null) {
            return known;
        }
        synchronized (this) { // a bind to a free port that is still being made knows its address only at its end
            return acceptHandlers.getOrDefault(localAddress, MinaNet::closeAtOnce);
        }
    }

    private static LinkEvents closeAtOnce(Link link) {
        link.close();
        return new IgnoringLinkEvents();
    }

    /** Forwards the events of a session to its link. */
    private final class Handler extends IoHandlerAdapter {
        private final boolean inbound;

        Handler(boolean inbound) {
            this.inbound = inbound;
        }

        private MinaLink link(IoSession session) {
            return (MinaLink) session.getAttribute(LINK_ATTRIBUTE);
        }

        @Override
        public void sessionCreated(IoSession session) {
            if (inbound) {
                Function<Link, LinkEvents> acceptHandler = acceptHandler(session.getLocalAddress());
                MinaLink link = new MinaLink(thread, clientMemory);
                session.setAttribute(LINK_ATTRIBUTE, link);
                link.onAccepted(session, acceptor.takeQueuedMicros(session), acceptHandler);
            }
        }

        @Override
        public void sessionOpened(IoSession session) {
            link(session).onOpened(session);
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            link(session).onReceived(toBytes(message));
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            if (!HalfClose.isMarker(message)) {
                link(session).onWritten();
            }
        }

        @Override
        public void inputClosed(IoSession session) {
            link(session).onInputEnded();
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            if (inbound) {
                connectionLimiter.connectionClosed();
            }
            link(session).onClosed();
        }
    }
}
