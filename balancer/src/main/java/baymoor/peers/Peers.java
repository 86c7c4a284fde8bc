package baymoor.peers;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The other balancers of the tier: numbers to addresses and back, and the size of what they may send. */
public final class Peers {

    /** The longest datagram that the settings of a site allow; a longer one voids the run. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    /** Takes the messages of other balancers. */
    @FunctionalInterface
    public interface MessageHandler {
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
     * @param self     this balancer's own address among them, or null
     * @param broadcastAddress the address that reaches all, or null where each has to be told by itself
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

    /** Tells one peer by its number, or all with a negative one; what can't be sent is lost like any datagram. */
    public void tell(int peer, byte[] datagram) {
        if (peer < 0 && broadcastAddress == null && self != null) {
            for (int i = 0; i < addresses.size(); i++) {
                if (!addresses.get(i).equals(self)) {
                    tell(i, datagram);
                }
            }
            return;
        }
        InetSocketAddress to = peer < 0 ? broadcastAddress : peer < addresses.size() ? addresses.get(peer) : null;
        if (to == null || datagram.length > MAX_DATAGRAM_BYTES) {
            counters.add(Count.ACTIONS_IGNORED);
            return;
        }
        counters.add(Count.PEER_SENT);
        link.send(to, datagram);
    }

    /** Takes a datagram; one from an address that is no peer's, or too long, is counted and dropped. */
    public void received(InetSocketAddress from, byte[] datagram) {
        int peer = indexes.getOrDefault(from, -1);
        if (peer < 0 || datagram.length > MAX_DATAGRAM_BYTES) {
            counters.add(Count.PEER_BAD);
            return;
        }
        counters.add(Count.PEER_HEARD);
        handler.onMessage(peer, datagram);
    }
}
