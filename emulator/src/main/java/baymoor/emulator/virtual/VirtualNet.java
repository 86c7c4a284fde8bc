package baymoor.emulator.virtual;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.engine.Engine;
import baymoor.emulator.engine.Site;
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
 * The network in virtual time: connections that carry the real bytes in order, each way with its own delay, and
 * datagrams that may be lost, doubled or overtaken. Between zones that are cut off from one another nothing passes and
 * nothing is told; once the cut is over, connections on which something was stuck are reset, the others go on.
 */
final class VirtualNet {

    /** Sees what a balancer does on the connections that it opened itself. */
    interface Tap {
        void sent(Site balancer, long connection, InetSocketAddress to, byte[] bytes);

        void received(long connection);

        void closed(long connection);
    }

    private static final double MOST_JITTER = 6;

    private record Listener(Site site, Acceptor acceptor) {}

    private record Mailbox(Site site, BiConsumer<InetSocketAddress, byte[]> received) {}

    final Engine engine;
    private final Scenario.Net net;
    final EventLog log;
    private final Streams streams;
    private final long[][] crossing;
    private final ZoneCuts cuts;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Map<InetSocketAddress, Mailbox> mailboxes = new HashMap<>();
    private final Map<InetSocketAddress, List<InetSocketAddress>> groups = new HashMap<>();
    final Map<Site, Set<VirtualLink>> open = new HashMap<>();
    private final Map<Site, UniformRandomProvider> chances = new HashMap<>();
    private final Map<Site, Integer> balancers = new HashMap<>();
    private final Set<InetSocketAddress> silent = new LinkedHashSet<>();
    final Set<VirtualLink> stuck = new LinkedHashSet<>();
    private final CRC32C sum = new CRC32C();
    Tap tap;
    private double loss;
    private long connections;

    VirtualNet(Engine engine, Scenario scenario, Streams streams, EventLog log) {
        this.engine = engine;
        this.net = scenario.net();
        this.streams = streams;
        this.log = log;
        int zones = scenario.zones().size();
        crossing = new long[zones][zones];
        cuts = new ZoneCuts(zones);
        UniformRandomProvider from = streams.of("net");
        for (int a = 0; a < zones; a++) {
            for (int b = 0; b < a; b++) {
                crossing[a][b] = Draw.within(from, net.cross());
                crossing[b][a] = crossing[a][b];
            }
        }
    }

    /** From now on what these sites send and receive on connections of their own is shown to the tap. */
    void tap(Tap watcher) {
        tap = watcher;
    }

    void balancer(Site site, int number) {
        balancers.put(site, number);
    }

    /** The number of a balancer's site, -1 for any other. */
    int number(Site site) {
        return balancers.getOrDefault(site, -1);
    }

    void listen(InetSocketAddress address, Site site, Acceptor acceptor) {
        listeners.put(address, new Listener(site, acceptor));
        silent.remove(address);
    }

    void stopListening(InetSocketAddress address) {
        listeners.remove(address);
    }

    /** The machine at this address is gone without a word: who calls it hears nothing. */
    void silence(InetSocketAddress address) {
        listeners.remove(address);
        silent.add(address);
    }

    void receive(InetSocketAddress address, Site site, BiConsumer<InetSocketAddress, byte[]> received) {
        mailboxes.put(address, new Mailbox(site, received));
    }

    void group(InetSocketAddress address, List<InetSocketAddress> members) {
        groups.put(address, members);
    }

    Dialer dialer(Site from) {
        return (to, events) -> dial(from, to, events);
    }

    /** Share of datagrams lost beside what the scenario loses always. */
    void loss(double share) {
        loss = share;
    }

    /** Cuts a zone off from all others, or joins it to them again. */
    void cut(int zone, boolean cut) {
        cuts.cutOff(zone, cut);
        if (!cut) {
            for (VirtualLink link : List.copyOf(stuck)) {
                link.healed();
            }
        }
    }

    boolean isCut(Site a, Site b) {
        return !a.client() && !b.client() && cuts.isCut(a.zone(), b.zone());
    }

    UniformRandomProvider chance(Site site) {
        return chances.computeIfAbsent(site, s -> streams.of("net " + s.name()));
    }

    long delay(Site from, Site to) {
        long least = from.client() || to.client()
                ? net.client()
                : from.zone() == to.zone() ? net.same() : crossing[from.zone()][to.zone()];
        if (net.jitter() == 0) {
            return least;
        }
        return (long) (least * (1 + net.jitter() * Math.min(MOST_JITTER, Draw.exponential(chance(from)))));
    }

    /** The process at a site is gone: its connections are reset, or silent where the whole machine vanished. */
    void died(Site site, boolean silently) {
        listeners.entrySet().removeIf(e -> {
            boolean its = e.getValue().site == site;
            if (its && silently) {
                silent.add(e.getKey());
            }
            return its;
        });
        mailboxes.values().removeIf(m -> m.site == site);
        Set<VirtualLink> ends = open.remove(site);
        if (ends != null) {
            for (VirtualLink end : List.copyOf(ends)) {
                end.died(silently);
            }
        }
    }

    void send(Site from, InetSocketAddress source, InetSocketAddress to, byte[] content) {
        List<InetSocketAddress> members = groups.get(to);
        if (members != null) {
            members.stream().filter(m -> !m.equals(source)).forEach(m -> send(from, source, m, content));
            return;
        }
        Mailbox box = mailboxes.get(to);
        UniformRandomProvider chance = chance(from);
        int copies = Draw.chance(chance, Math.max(loss, net.datagramLoss()))
                ? 0
                : Draw.chance(chance, net.datagramDouble()) ? 2 : 1;
        if (box == null || isCut(from, box.site)) {
            return;
        }
        for (int i = 0; i < copies; i++) {
            long after = delay(from, box.site) + Draw.within(chance, net.datagram());
            engine.after(after, () -> {
                Mailbox there = mailboxes.get(to);
                if (there != null && !isCut(from, there.site)) {
                    log.line("datagram", from.name(), there.site.name(), content.length, sum(content));
                    there.site.post(() -> there.received.accept(source, content));
                }
            });
        }
    }

    long sum(byte[] bytes) {
        sum.reset();
        sum.update(bytes);
        return sum.getValue();
    }

    private Link dial(Site from, InetSocketAddress to, LinkEvents events) {
        VirtualLink near = new VirtualLink(this, from, events, ++connections, to);
        near.openedByBalancer(balancers.containsKey(from));
        open.computeIfAbsent(from, s -> new LinkedHashSet<>()).add(near);
        Listener at = listeners.get(to);
        if (at == null) {
            if (!silent.contains(to)) { // the machine is there and says that nobody listens
                engine.after(2 * net.same(), () -> near.ended(Tracked.Ending.REFUSED));
            }
            return near;
        }
        if (isCut(from, at.site)) {
            near.connectToNobody(at.site);
            stuck.add(near);
            return near;
        }
        engine.after(delay(from, at.site), () -> arrived(near, from, to));
        return near;
    }

    /** The call has come to the machine that it was for. */
    private void arrived(VirtualLink near, Site from, InetSocketAddress to) {
        Listener at = listeners.get(to);
        if (near.done()) {
            return;
        }
        if (at == null) {
            if (!silent.contains(to)) {
                engine.after(net.same(), () -> near.ended(Tracked.Ending.REFUSED));
            }
            return;
        }
        VirtualLink far = near.connectTo(at.site);
        open.computeIfAbsent(at.site, s -> new LinkedHashSet<>()).add(far);
        int balancer = number(from);
        log.line("connect", from.name(), at.site.name(), near.number(), 0);
        at.site.post(() -> far.accept(at.acceptor, balancer));
        far.tellOpened();
    }
}
