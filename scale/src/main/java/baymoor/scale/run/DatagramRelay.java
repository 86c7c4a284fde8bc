package baymoor.scale.run;

import baymoor.scale.hollow.PlaceNetwork;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.PeerSocket;
import baymoor.scale.loop.RunClock;
import baymoor.scale.loop.Work;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stands between the real balancers and all others where datagrams take time or may get lost. It has an address for each balancer:
 * what is sent there goes on to that one, from the relay's address for the sender. Hollow balancers delay and lose what they send
 * themselves, so only what real ones send is delayed here.
 */
final class DatagramRelay {

    private final DecisionLoop loop;
    private final PlaceNetwork network;
    private final int real;
    private final List<InetSocketAddress> balancers;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private final List<PeerSocket> sockets = new ArrayList<>();

    /** @param real balancers with a number under that are real */
    DatagramRelay(Addresses addresses, int count, int real, PlaceNetwork network, Consumer<String> failed)
            throws IOException {
        this.real = real;
        this.network = network;
        balancers = new ArrayList<>();
        loop = new DecisionLoop("relay", new RunClock(1), failed);
        for (int number = 0; number < count; number++) {
            balancers.add(addresses.peers(number));
            numbers.put(addresses.peers(number), number);
        }
        for (int number = 0; number < count; number++) {
            int to = number;
            sockets.add(new PeerSocket(loop, addresses.relay(number), (from, bytes) -> pass(from, to, bytes)));
        }
        loop.start();
    }

    private void pass(InetSocketAddress sender, int to, byte[] bytes) {
        Integer from = numbers.get(sender);
        if (from == null) {
            return;
        }
        long delay = from < real ? network.delayMicros(from, to) : 0;
        if (delay == 0) {
            sockets.get(from).send(balancers.get(to), bytes);
        } else if (delay != PlaceNetwork.LOST) {
            loop.after(delay, Work.TOOL, () -> sockets.get(from).send(balancers.get(to), bytes));
        }
    }

    /** Cuts two zones off from each other, one way, or joins them again. */
    void cut(int from, int to, boolean cut) {
        loop.post(() -> network.cut(from, to, cut));
    }

    /** Loses so large a share of the datagrams. */
    void lose(double share) {
        loop.post(() -> network.lose(share));
    }

    void close() {
        loop.stop();
        sockets.forEach(PeerSocket::close);
    }
}
