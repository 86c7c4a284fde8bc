package baymoor.emulator.virtual;

import baymoor.emulator.engine.Engine;
import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Platform;
import baymoor.link.Dialer;
import baymoor.link.Time;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.Map;

/** The {@link Platform} of a run in virtual time and on the virtual network. */
final class VirtualPlatform implements Platform {

    private static final int PORT = 7000;
    private static final int PLACE_GROUP = 16;

    private final Engine engine;
    private final VirtualNet net;
    private final Map<String, VirtualProcess> processes = new HashMap<>();
    private final Map<Integer, InetSocketAddress> addresses = new HashMap<>();
    private final Map<InetSocketAddress, Integer> places = new HashMap<>();

    VirtualPlatform(Engine engine, VirtualNet net) {
        this.engine = engine;
        this.net = net;
    }

    private VirtualProcess process(String name, int zone) {
        return processes.computeIfAbsent(
                name,
                n -> new VirtualProcess(engine, n, zone, n.startsWith("clients-"), 0, failure -> {
                    throw new IllegalStateException("simulated process " + n + " failed", failure);
                }));
    }

    private InetSocketAddress loopbackAddress(int group, int number, int port) {
        return addresses.computeIfAbsent((group << 20 | number) << 1 | port - PORT, k -> {
            try {
                byte[] octets = {127, (byte) (group + (number >> 16)), (byte) (number >> 8), (byte) number};
                return new InetSocketAddress(InetAddress.getByAddress(octets), port);
            } catch (UnknownHostException e) {
                throw new IllegalStateException("four bytes always form an IPv4 address", e);
            }
        });
    }

    @Override
    public Time time(String host, int zone) {
        return process(host, zone);
    }

    @Override
    public void listen(int place, String host, int zone, Acceptor acceptor) {
        net.listen(address(place, 0), process(host, zone), acceptor);
    }

    @Override
    public void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor) {
        listen(place, host, zone, acceptor);
    }

    @Override
    public void stopListening(int place, boolean silently) {
        if (silently) {
            net.makeUnreachable(address(place, 0));
        } else {
            net.stopListening(address(place, 0));
        }
    }

    @Override
    public Dialer clients(int zone) {
        return net.dialer(processes.values().stream()
                .filter(s -> s.client() && s.zone() == zone)
                .findFirst()
                .orElseThrow());
    }

    @Override
    public InetSocketAddress address(int place, int balancer) {
        InetSocketAddress at = loopbackAddress(PLACE_GROUP, place, PORT);
        places.putIfAbsent(at, place);
        return at;
    }

    /** Returns the place of an address, or -1 if it has none. */
    int place(InetSocketAddress address) {
        return places.getOrDefault(address, -1);
    }

    @Override
    public InetSocketAddress balancer(int number) {
        return loopbackAddress(1, number, PORT);
    }

    @Override
    public InetSocketAddress peer(int number, int seenBy) {
        return loopbackAddress(1, number, PORT + 1);
    }

    @Override
    public InetSocketAddress everyone() {
        return loopbackAddress(1, (1 << 16) - 1, PORT + 1);
    }

    @Override
    public long unixMillis(long micros) {
        return micros / 1000;
    }

    @Override
    public boolean hostsTell() {
        return false;
    }

    @Override
    public long slackMicros() {
        return 0;
    }

    @Override
    public void cut(int zone, boolean cut) {
        net.cut(zone, cut);
    }

    @Override
    public void loseDatagrams(double share) {
        net.extraDatagramLoss(share);
    }
}
