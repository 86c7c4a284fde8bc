package baymoor.peers;

import static org.junit.Assert.assertEquals;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class PeersTest {

    private static final InetSocketAddress A = new InetSocketAddress("127.0.0.1", 1);
    private static final InetSocketAddress B = new InetSocketAddress("127.0.0.1", 2);
    private static final InetSocketAddress ALL = new InetSocketAddress("127.0.0.1", 3);

    @Test
    public void numbersAreAddressesAndWhatIsTooLongOrForeignIsDropped() {
        List<String> seen = new ArrayList<>();
        Counters counters = new Counters();
        Peers peers = new Peers(
                List.of(A, B),
                null,
                ALL,
                (to, bytes) -> seen.add("to " + to.getPort()),
                counters,
                (from, bytes) -> seen.add("from " + from));
        peers.tell(1, new byte[256]);
        peers.tell(-1, new byte[1]);
        peers.tell(2, new byte[1]);
        peers.tell(0, new byte[257]);
        peers.received(B, new byte[256]);
        peers.received(B, new byte[257]);
        peers.received(ALL, new byte[1]);
        assertEquals(List.of("to 2", "to 3", "from 1"), seen);
        assertEquals(2, counters.get(Count.PEER_BAD));
        assertEquals(2, counters.get(Count.ACTIONS_IGNORED));
    }
}
