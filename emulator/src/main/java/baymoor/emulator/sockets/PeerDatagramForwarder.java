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
import org.apache.mina.transport.socket.nio.NioDatagramAcceptor;

/**
 * The datagrams of balancers to each other, by way of the fabric. Each balancer knows each other one at an address of its own: it
 * sends there, and what comes from the other comes from there too.
 */
final class PeerDatagramForwarder {

    /** Who sends to an address, and to whom that goes on. */
    private record Route(int from, int to) {}

    private final Map<SocketAddress, Route> routes = new HashMap<>();
    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final SocketPlatform platform;

    private PeerDatagramForwarder(SocketPlatform platform) {
        this.platform = platform;
    }

    /** Opens the paths between all balancers. */
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
        forwarder.acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                IoBuffer buffer = (IoBuffer) message;
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                Route route = forwarder.routes.get(session.getLocalAddress());
                if (route != null) {
                    thread.post(() -> fabric.datagram(
                            route.from() % zones, route.to() % zones, () -> forwarder.forward(route, bytes)));
                }
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                session.closeNow(); // whoever it was for is not there now, as with any datagram
            }
        });
        if (!forwarder.routes.isEmpty()) {
            forwarder.acceptor.bind(forwarder.routes.keySet());
        }
        return forwarder;
    }

    private void forward(Route route, byte[] bytes) {
        InetSocketAddress to = platform.peer(route.to(), route.to());
        acceptor.newSession(to, platform.peer(route.from(), route.to())).write(IoBuffer.wrap(bytes));
    }

    void close() {
        acceptor.dispose();
    }
}
