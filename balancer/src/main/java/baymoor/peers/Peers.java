package baymoor.peers;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The balancers of the tier: maps their indexes to addresses and back, and limits the size of datagrams. Used on the decision
 * thread.
 */
public final class Peers {

    /** The longest datagram that a site's rules allow. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    /** Receives the datagrams of peers, with the sender's index. */
    @FunctionalInterface
    public interface MessageHandler {
        /** Handles one datagram. */
        void onMessage(int peer, byte[] datagram);
    }

    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> indexes = new HashMap<>();
    private final InetSocketAddress self;
    private final InetSocketAddress broadcastAddress;
    private final PeerLink link;
    private final Counters counters;
    private final MessageHandler handler;

    /**
     * Creates the mapping.
     *
     * @param addresses        the balancers' addresses by index
     * @param self             this balancer's own address among them, or null
     * @param broadcastAddress address that reaches all balancers, or null if datagrams are sent to each one
     */
    public Peers(
            List<InetSocketAddress> addresses,
            InetSocketAddress self,
            InetSocketAddress broadcastAddress,
            PeerLink link,
            Counters counters,
            MessageHandler handler) {
        this.self = self;
        this.addresses = List.copyOf(addresses);
        for (int i = 0; i < addresses.size(); i++) {
            indexes.putIfAbsent(addresses.get(i), i);
        }
        this.broadcastAddress = broadcastAddress;
        this.link = link;
        this.counters = counters;
        this.handler = handler;
    }

    /**
     * Sends a datagram to one peer, or to all. One that is too long or has an unknown peer is counted and dropped.
     *
     * @param peer the peer's index, or a negative number for all peers
     */
    public void send(int peer, byte[] datagram) {
        if (peer < 0 && broadcastAddress == null && self != null) {
            for (int i = 0; i < addresses.size(); i++) {
                if (!addresses.get(i).equals(self)) {
                    send(i, datagram);
                }
            }
            return;
        }
        InetSocketAddress to = peer < 0 ? broadcastAddress : peer < addresses.size() ? addresses.get(peer) : null;
        if (to == null || datagram.length > MAX_DATAGRAM_BYTES) {
            counters.increment(Count.ACTIONS_IGNORED);
            return;
        }
        counters.increment(Count.PEER_SENT);
        link.send(to, datagram);
    }

    /** Passes a datagram to the handler; one from an unknown address or one that is too long is counted and dropped. */
    public void received(InetSocketAddress from, byte[] datagram) {
        int peer = indexes.getOrDefault(from, -1);
        if (peer < 0 || datagram.length > MAX_DATAGRAM_BYTES) {
            counters.increment(Count.PEER_BAD);
            return;
        }
        counters.increment(Count.PEER_HEARD);
        handler.onMessage(peer, datagram);
    }
}
