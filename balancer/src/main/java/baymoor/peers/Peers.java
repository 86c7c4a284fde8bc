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
    public static final int LONGEST = 256;

    /** Takes the messages of other balancers. */
    @FunctionalInterface
    public interface Heard {
        void message(int from, byte[] content);
    }

    private final List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final InetSocketAddress self;
    private final InetSocketAddress everyone;
    private final PeerLink link;
    private final Counters counters;
    private final Heard heard;

    /**
     * @param self     this balancer's own address among them, or null
     * @param everyone the address that reaches all, or null where each has to be told by itself
     */
    public Peers(
            List<InetSocketAddress> addresses,
            InetSocketAddress self,
            InetSocketAddress everyone,
            PeerLink link,
            Counters counters,
            Heard heard) {
        this.self = self;
        this.addresses = List.copyOf(addresses);
        for (int i = 0; i < addresses.size(); i++) {
            numbers.putIfAbsent(addresses.get(i), i);
        }
        this.everyone = everyone;
        this.link = link;
        this.counters = counters;
        this.heard = heard;
    }

    /** Tells one peer by its number, or all with a negative one; what can't be sent is lost like any datagram. */
    public void tell(int peer, byte[] content) {
        if (peer < 0 && everyone == null && self != null) {
            for (int i = 0; i < addresses.size(); i++) {
                if (!addresses.get(i).equals(self)) {
                    tell(i, content);
                }
            }
            return;
        }
        InetSocketAddress to = peer < 0 ? everyone : peer < addresses.size() ? addresses.get(peer) : null;
        if (to == null || content.length > LONGEST) {
            counters.add(Count.ACTIONS_IGNORED);
            return;
        }
        counters.add(Count.PEER_SENT);
        link.send(to, content);
    }

    /** Takes a datagram; one from an address that is no peer's, or too long, is counted and dropped. */
    public void received(InetSocketAddress from, byte[] content) {
        int number = numbers.getOrDefault(from, -1);
        if (number < 0 || content.length > LONGEST) {
            counters.add(Count.PEER_BAD);
            return;
        }
        counters.add(Count.PEER_HEARD);
        heard.message(number, content);
    }
}
