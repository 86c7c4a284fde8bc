package baymoor.peers;

import static org.junit.Assert.assertEquals;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class PeersTest {

    private static final InetSocketAddress PEER_0 = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress PEER_1 = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress BROADCAST = new InetSocketAddress("127.0.0.1", 3);

    @Test
    public void indexesMapToAddressesAndInvalidDatagramsAreDropped() {
        List<String> seen = new ArrayList<>();
        Counters counters = new Counters();
        Peers peers = new Peers(
                List.of(PEER_0, PEER_1),
                null,
                BROADCAST,
                (to, bytes) -> seen.add("to " + to.getPort()),
                counters,
                (from, bytes) -> seen.add("from " + from));
        peers.send(1, new byte[256]);
        peers.send(-1, new byte[1]);
        peers.send(2, new byte[1]);
        peers.send(0, new byte[257]);
        peers.received(PEER_1, new byte[256]);
        peers.received(PEER_1, new byte[257]);
        peers.received(BROADCAST, new byte[1]);
        assertEquals(List.of("to 2", "to 3", "from 1"), seen);
        assertEquals(2, counters.get(Count.PEER_BAD));
        assertEquals(2, counters.get(Count.ACTIONS_IGNORED));
    }
}
