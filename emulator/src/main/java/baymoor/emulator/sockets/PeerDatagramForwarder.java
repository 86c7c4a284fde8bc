package baymoor.emulator.sockets;

import baymoor.emulator.fabric.Fabric;
import baymoor.net.DecisionThread;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionRecycler;
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/**
 * Forwards datagrams between balancers through the simulated network. Each balancer sees every peer at a separate
 * address: it sends to that address, and datagrams from the peer have it as their source.
 */
final class PeerDatagramForwarder {

    /** The sender and the receiver of the datagrams that arrive at one address. */
    private record Route(int from, int to) {}

    private final Map<SocketAddress, Route> routes = new HashMap<>();
    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final SocketPlatform platform;

    private PeerDatagramForwarder(SocketPlatform platform) {
        this.platform = platform;
    }

    /** Opens the addresses of all pairs of balancers and starts forwarding. */
    static PeerDatagramForwarder open(
            SocketPlatform platform, int balancers, int zones, Fabric fabric, DecisionThread thread)
            throws IOException {
        PeerDatagramForwarder forwarder = new PeerDatagramForwarder(platform);
        for (int from = 0; from < balancers; from++) {
            for (int to = 0; to < balancers; to++) {
                if (from != to) {
                    forwarder.routes.put(platform.peer(to, from), new Route(from, to));
                }
            }
        }
        forwarder.acceptor.getSessionConfig().setReuseAddress(true);
        // MINA finds a datagram's session by the remote address and the local port, and all addresses here share a
        // port: a
        // session that is used again would be another pair's.
        forwarder.acceptor.setSessionRecycler(IoSessionRecycler.NOOP);
        forwarder.acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                IoBuffer buffer = (IoBuffer) message;
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                Route route = forwarder.routes.get(session.getLocalAddress());
                session.closeNow();
                if (route != null) {
                    thread.post(() -> fabric.datagram(
                            route.from() % zones, route.to() % zones, () -> forwarder.forward(route, bytes)));
                }
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                session.closeNow(); // the receiver is down, and the datagram is lost
            }
        });
        if (!forwarder.routes.isEmpty()) {
            forwarder.acceptor.bind(forwarder.routes.keySet());
        }
        return forwarder;
    }

    private void forward(Route route, byte[] bytes) {
        InetSocketAddress to = platform.peer(route.to(), route.to());
        IoSession session = acceptor.newSession(to, platform.peer(route.from(), route.to()));
        session.write(IoBuffer.wrap(bytes));
        session.closeOnFlush();
    }

    void close() {
        acceptor.dispose();
    }
}
