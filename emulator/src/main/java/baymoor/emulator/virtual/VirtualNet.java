package baymoor.emulator.virtual;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.engine.Engine;
import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.fabric.ZoneCuts;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Tracked;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.zip.CRC32C;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The network in virtual time: connections carry bytes in order, with a separate delay for each direction, and datagrams
 * may be lost, duplicated or reordered. Nothing crosses a cut between zones, not even a close; when the cut ends,
 * connections on which something was blocked are reset and the others continue. Called on the thread that runs the engine.
 */
final class VirtualNet {

    /** Observes the traffic of connections that balancers opened. */
    interface ConnectionObserver {
        void sent(VirtualProcess balancer, long connection, InetSocketAddress to, byte[] bytes);

        void received(long connection);

        void closed(long connection);
    }

    private static final double MAX_JITTER_FACTOR = 6;

    private record Listener(VirtualProcess process, Acceptor acceptor) {}

    private record DatagramReceiver(VirtualProcess process, BiConsumer<InetSocketAddress, byte[]> received) {}

    final Engine engine;
    private final Scenario.Net net;
    final EventLog log;
    private final Streams streams;
    private final long[][] crossZoneMicros;
    private final ZoneCuts cuts;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Map<InetSocketAddress, DatagramReceiver> datagramReceivers = new HashMap<>();
    private final Map<InetSocketAddress, List<InetSocketAddress>> multicastGroups = new HashMap<>();
    final Map<VirtualProcess, Set<VirtualLink>> open = new HashMap<>();
    private final Map<VirtualProcess, UniformRandomProvider> randoms = new HashMap<>();
    private final Map<VirtualProcess, Integer> balancers = new HashMap<>();
    private final Set<InetSocketAddress> unreachable = new LinkedHashSet<>();
    final Set<VirtualLink> blocked = new LinkedHashSet<>();
    private final CRC32C checksum = new CRC32C();
    ConnectionObserver observer;
    private double extraDatagramLoss;
    private long connectionCount;

    VirtualNet(Engine engine, Scenario scenario, Streams streams, EventLog log) {
        this.engine = engine;
        this.net = scenario.net();
        this.streams = streams;
        this.log = log;
        int zones = scenario.zones().size();
        crossZoneMicros = new long[zones][zones];
        cuts = new ZoneCuts(zones);
        UniformRandomProvider from = streams.of("net");
        for (int a = 0; a < zones; a++) {
            for (int b = 0; b < a; b++) {
                crossZoneMicros[a][b] = Draw.within(from, net.cross());
                crossZoneMicros[b][a] = crossZoneMicros[a][b];
            }
        }
    }

    /** Sets the observer of connections that balancers opened. */
    void observe(ConnectionObserver newObserver) {
        observer = newObserver;
    }

    void registerBalancer(VirtualProcess process, int number) {
        balancers.put(process, number);
    }

    /** Returns the index of the balancer of a process, or -1 for any other process. */
    int balancerNumber(VirtualProcess process) {
        return balancers.getOrDefault(process, -1);
    }

    void listen(InetSocketAddress address, VirtualProcess process, Acceptor acceptor) {
        listeners.put(address, new Listener(process, acceptor));
        unreachable.remove(address);
    }

    void stopListening(InetSocketAddress address) {
        listeners.remove(address);
    }

    /** Makes an address unreachable: connection attempts get no response. */
    void makeUnreachable(InetSocketAddress address) {
        listeners.remove(address);
        unreachable.add(address);
    }

    void bindDatagrams(
            InetSocketAddress address, VirtualProcess process, BiConsumer<InetSocketAddress, byte[]> received) {
        datagramReceivers.put(address, new DatagramReceiver(process, received));
    }

    void addMulticastGroup(InetSocketAddress address, List<InetSocketAddress> members) {
        multicastGroups.put(address, members);
    }

    Dialer dialer(VirtualProcess from) {
        return (to, events) -> dial(from, to, events);
    }

    /** Sets a share of datagrams to lose; the larger of this and the loss of the scenario applies. */
    void extraDatagramLoss(double share) {
        extraDatagramLoss = share;
    }

    /** Starts or ends a cut between a zone and all others. */
    void cut(int zone, boolean cut) {
        cuts.cutOff(zone, cut);
        if (!cut) {
            for (VirtualLink link : List.copyOf(blocked)) {
                link.resetAfterCut();
            }
        }
    }

    boolean isCut(VirtualProcess a, VirtualProcess b) {
        return !a.client() && !b.client() && cuts.isCut(a.zone(), b.zone());
    }

    UniformRandomProvider random(VirtualProcess process) {
        return randoms.computeIfAbsent(process, s -> streams.of("net " + s.name()));
    }

    long delay(VirtualProcess from, VirtualProcess to) {
        long baseMicros = from.client() || to.client()
                ? net.client()
                : from.zone() == to.zone() ? net.same() : crossZoneMicros[from.zone()][to.zone()];
        if (net.jitter() == 0) {
            return baseMicros;
        }
        return (long) (baseMicros * (1 + net.jitter() * Math.min(MAX_JITTER_FACTOR, Draw.exponential(random(from)))));
    }

    /** Resets the connections of a process that died, or leaves them silent if its machine vanished. */
    void processDied(VirtualProcess process, boolean silently) {
        listeners.entrySet().removeIf(e -> {
            boolean ownedByProcess = e.getValue().process == process;
            if (ownedByProcess && silently) {
                unreachable.add(e.getKey());
            }
            return ownedByProcess;
        });
        datagramReceivers.values().removeIf(m -> m.process == process);
        Set<VirtualLink> links = open.remove(process);
        if (links != null) {
            for (VirtualLink link : List.copyOf(links)) {
                link.processDied(silently);
            }
        }
    }

    void send(VirtualProcess from, InetSocketAddress source, InetSocketAddress to, byte[] content) {
        List<InetSocketAddress> members = multicastGroups.get(to);
        if (members != null) {
            members.stream().filter(m -> !m.equals(source)).forEach(m -> send(from, source, m, content));
            return;
        }
        DatagramReceiver receiver = datagramReceivers.get(to);
        UniformRandomProvider random = random(from);
        int copies = Draw.chance(random, Math.max(extraDatagramLoss, net.datagramLoss()))
                ? 0
                : Draw.chance(random, net.datagramDouble()) ? 2 : 1;
        if (receiver == null || isCut(from, receiver.process)) {
            return;
        }
        for (int i = 0; i < copies; i++) {
            long after = delay(from, receiver.process) + Draw.within(random, net.datagram());
            engine.after(after, () -> {
                DatagramReceiver there = datagramReceivers.get(to);
                if (there != null && !isCut(from, there.process)) {
                    log.append("datagram", from.name(), there.process.name(), content.length, checksum(content));
                    there.process.post(() -> there.received.accept(source, content));
                }
            });
        }
    }

    long checksum(byte[] bytes) {
        checksum.reset();
        checksum.update(bytes);
        return checksum.getValue();
    }

    private Link dial(VirtualProcess from, InetSocketAddress to, LinkEvents events) {
        VirtualLink callerLink = new VirtualLink(this, from, events, ++connectionCount, to);
        callerLink.setOpenedByBalancer(balancers.containsKey(from));
        open.computeIfAbsent(from, s -> new LinkedHashSet<>()).add(callerLink);
        Listener at = listeners.get(to);
        if (at == null) {
            if (!unreachable.contains(to)) { // reachable machine, closed port
                engine.after(2 * net.same(), () -> callerLink.closedByNetwork(Tracked.Ending.REFUSED));
            }
            return callerLink;
        }
        if (isCut(from, at.process)) {
            callerLink.connectUnreachable(at.process);
            blocked.add(callerLink);
            return callerLink;
        }
        engine.after(delay(from, at.process), () -> connectArrived(callerLink, from, to));
        return callerLink;
    }

    /** Handles the arrival of a connection attempt at its destination. */
    private void connectArrived(VirtualLink callerLink, VirtualProcess from, InetSocketAddress to) {
        Listener at = listeners.get(to);
        if (callerLink.isClosedOnAnySide()) {
            return;
        }
        if (at == null) {
            if (!unreachable.contains(to)) {
                engine.after(net.same(), () -> callerLink.closedByNetwork(Tracked.Ending.REFUSED));
            }
            return;
        }
        VirtualLink acceptedLink = callerLink.connectTo(at.process);
        open.computeIfAbsent(at.process, s -> new LinkedHashSet<>()).add(acceptedLink);
        int balancer = balancerNumber(from);
        log.append("connect", from.name(), at.process.name(), callerLink.number(), 0);
        at.process.post(() -> acceptedLink.accept(at.acceptor, balancer));
        acceptedLink.notifyOpened();
    }
}
