package baymoor.peers;

import java.net.InetSocketAddress;

/** Sends one datagram, or loses it. */
@FunctionalInterface
public interface PeerLink {
    void send(InetSocketAddress to, byte[] datagram);
}
