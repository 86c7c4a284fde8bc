package baymoor.emulator.sockets;

import baymoor.emulator.chance.Streams;
import baymoor.emulator.fabric.Fabric;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Platform;
import baymoor.link.Dialer;
import baymoor.link.Time;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/**
 * Runs a world on loopback sockets. Each balancer reaches each host at a separate address, so that hosts can tell the
 * balancers apart. All state machines run on one decision thread.
 */
public final class SocketPlatform implements Platform {

    private static final int BALANCER_NETWORK = 1;
    private static final int FIRST_HOST_NETWORK = 16;
    private static final int MAX_BALANCERS = 200;
    private static final long REPORTING_LAG_MICROS = 50_000;
    private static final int MAX_PORT_ATTEMPTS = 50;

    private final DecisionThread thread;
    private final MinaNet net;
    private final int balancers;
    private final int zones;
    private final boolean peersEnabled;
    private final Fabric fabric;
    private final int port;
    private final int processOctet;
    private final long unixOffsetMillis;
    private PeerDatagramForwarder peerForwarder;

    /** @param streams source of the simulated network's random stream */
    public SocketPlatform(DecisionThread thread, MinaNet net, Scenario scenario, Streams streams) throws IOException {
        balancers = scenario.balancers().count();
        zones = scenario.zones().size();
        peersEnabled = scenario.balancers().peers();
        if (balancers > MAX_BALANCERS) {
            throw new IOException("a world on sockets has at most " + MAX_BALANCERS + " balancers");
        }
        this.thread = thread;
        this.net = net;
        fabric = new Fabric(scenario.net(), zones, thread, streams.of("fabric"));
        processOctet = (int) (ProcessHandle.current().pid() % 250) + 1;
        port = freePort();
        unixOffsetMillis = System.currentTimeMillis() - thread.clockMicros() / 1000;
    }

    /** Starts forwarding datagrams between balancers if the scenario enables peers. */
    void openPeers() throws IOException {
        if (peersEnabled) {
            peerForwarder = PeerDatagramForwarder.open(this, balancers, zones, fabric, thread);
        }
    }

    void close() {
        if (peerForwarder != null) {
            peerForwarder.close();
        }
    }

    /** Returns the counts of injected network faults. */
    public Fabric.Counts faults() {
        return fabric.counts();
    }

    /** Returns a port that is free at the first balancer's address; peers use the port above it. */
    private int freePort() throws IOException {
        IOException lastFailure = null;
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            try (ServerSocket candidate = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                int candidatePort = candidate.getLocalPort();
                if (candidatePort < 65_535) {
                    try (ServerSocket confirmed = new ServerSocket(
                            candidatePort, 1, address(BALANCER_NETWORK, 0, 1).getAddress())) {
                        return confirmed.getLocalPort();
                    }
                }
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw new IOException("no free port on loopback", lastFailure);
    }

    private InetSocketAddress address(int network, int number, int at) {
        try {
            byte[] octets = {127, (byte) network, (byte) processOctet, (byte) (number + 1)};
            return new InetSocketAddress(InetAddress.getByAddress(octets), at);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("a four-byte address must be valid", e);
        }
    }

    @Override
    public Time time(String host, int zone) {
        return thread;
    }

    @Override
    public void listen(int place, String host, int zone, Acceptor acceptor) {
        for (int b = 0; b < balancers; b++) {
            listenBeside(b, place, host, zone, acceptor);
        }
    }

    @Override
    public void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor) {
        try {
            net.listen(
                    address(place, balancer),
                    link -> fabric.between(link, balancer % zones, zone, wire -> acceptor.accept(wire, balancer)));
        } catch (IOException e) {
            throw new UncheckedIOException(host + " cannot listen at " + address(place, balancer), e);
        }
    }

    @Override
    public void stopListening(int place, boolean silently) {
        for (int b = 0; b < balancers; b++) {
            net.stopListening(address(place, b));
        }
    }

    @Override
    public Dialer clients(int zone) {
        return net;
    }

    @Override
    public InetSocketAddress balancer(int number) {
        return address(BALANCER_NETWORK, number, port);
    }

    @Override
    public InetSocketAddress everyone() {
        return null;
    }

    @Override
    public InetSocketAddress peer(int number, int seenBy) {
        // Peers share the hosts' addresses: hosts listen on TCP there, so the same ports are free for UDP.
        return number == seenBy
                ? address(BALANCER_NETWORK, number, port + 1)
                : address(FIRST_HOST_NETWORK + seenBy, number, port);
    }

    @Override
    public InetSocketAddress address(int place, int balancer) {
        int group = place / 250;
        return address(FIRST_HOST_NETWORK + balancer, place % 250, port + group);
    }

    @Override
    public long unixMillis(long micros) {
        return micros / 1000 + unixOffsetMillis;
    }

    @Override
    public boolean hostsTell() {
        return true;
    }

    @Override
    public long slackMicros() {
        return REPORTING_LAG_MICROS;
    }

    @Override
    public void cut(int zone, boolean cut) {
        fabric.cut(zone, cut);
    }

    @Override
    public void loseDatagrams(double share) {
        fabric.lose(share);
    }
}
