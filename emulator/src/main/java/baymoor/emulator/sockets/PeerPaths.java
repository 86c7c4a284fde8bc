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
final class PeerPaths {

    /** Who sends to an address, and to whom that goes on. */
    private record Path(int from, int to) {}

    private final Map<SocketAddress, Path> paths = new HashMap<>();
    private final NioDatagramAcceptor acceptor = new NioDatagramAcceptor();
    private final SocketPlatform platform;

    private PeerPaths(SocketPlatform platform) {
        this.platform = platform;
    }

    /** Opens the paths between all balancers. */
    static PeerPaths open(SocketPlatform platform, int balancers, int zones, Fabric fabric, DecisionThread thread)
            throws IOException {
        PeerPaths all = new PeerPaths(platform);
        for (int from = 0; from < balancers; from++) {
            for (int to = 0; to < balancers; to++) {
                if (from != to) {
                    all.paths.put(platform.peer(to, from), new Path(from, to));
                }
            }
        }
        all.acceptor.getSessionConfig().setReuseAddress(true);
        all.acceptor.setHandler(new IoHandlerAdapter() {
            @Override
            public void messageReceived(IoSession session, Object message) {
                IoBuffer buffer = (IoBuffer) message;
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                Path path = all.paths.get(session.getLocalAddress());
                if (path != null) {
                    thread.post(
                            () -> fabric.datagram(path.from() % zones, path.to() % zones, () -> all.pass(path, bytes)));
                }
            }

            @Override
            public void exceptionCaught(IoSession session, Throwable cause) {
                session.closeNow(); // whoever it was for is not there now, as with any datagram
            }
        });
        if (!all.paths.isEmpty()) {
            all.acceptor.bind(all.paths.keySet());
        }
        return all;
    }

    private void pass(Path path, byte[] bytes) {
        InetSocketAddress to = platform.peer(path.to(), path.to());
        acceptor.newSession(to, platform.peer(path.from(), path.to())).write(IoBuffer.wrap(bytes));
    }

    void close() {
        acceptor.dispose();
    }
}
