package baymoor.peers;

import java.net.InetSocketAddress;

/** Sends datagrams without any guarantee of delivery. */
@FunctionalInterface
public interface PeerLink {
    /** Sends one datagram. */
    void send(InetSocketAddress to, byte[] datagram);
}
