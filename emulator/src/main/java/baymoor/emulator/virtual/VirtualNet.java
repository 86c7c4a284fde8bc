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
import java.util.ArrayDeque;
import java.util.ArrayList;
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
    /** From a balancer's word to write until the bytes are with the network, as with a thread of I/O between. */
    private static final long LEAVING_MICROS = 20;

    private record Listener(Site site, Acceptor acceptor) {}

    private record Mailbox(Site site, BiConsumer<InetSocketAddress, byte[]> received) {}

    private final Engine engine;
    private final Scenario.Net net;
    private final EventLog log;
    private final Streams streams;
    private final long[][] crossing;
    private final ZoneCuts cuts;
    private final Map<InetSocketAddress, Listener> listeners = new HashMap<>();
    private final Map<InetSocketAddress, Mailbox> mailboxes = new HashMap<>();
    private final Map<InetSocketAddress, List<InetSocketAddress>> groups = new HashMap<>();
    private final Map<Site, Set<End>> open = new HashMap<>();
    private final Map<Site, UniformRandomProvider> chances = new HashMap<>();
    private final Map<Site, Integer> balancers = new HashMap<>();
    private final Set<InetSocketAddress> silent = new LinkedHashSet<>();
    private final Set<End> stuck = new LinkedHashSet<>();
    private final CRC32C sum = new CRC32C();
    private Tap tap;
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
            List<End> ends = new ArrayList<>(stuck);
            for (End end : ends) {
                if (!isCut(end.site, end.peerSite())) {
                    stuck.remove(end);
                    long after = delay(end.site, end.peerSite());
                    engine.after(after, () -> end.ended(Tracked.Ending.CUT));
                }
            }
        }
    }

    private boolean isCut(Site a, Site b) {
        return !a.client() && !b.client() && cuts.isCut(a.zone(), b.zone());
    }

    private UniformRandomProvider chance(Site site) {
        return chances.computeIfAbsent(site, s -> streams.of("net " + s.name()));
    }

    private long delay(Site from, Site to) {
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
        Set<End> ends = open.remove(site);
        if (ends != null) {
            for (End end : List.copyOf(ends)) {
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

    private long sum(byte[] bytes) {
        sum.reset();
        sum.update(bytes);
        return sum.getValue();
    }

    private Link dial(Site from, InetSocketAddress to, LinkEvents events) {
        End near = new End(from, events, ++connections, to);
        near.dialled = balancers.containsKey(from);
        open.computeIfAbsent(from, s -> new LinkedHashSet<>()).add(near);
        Listener at = listeners.get(to);
        if (at == null) {
            if (!silent.contains(to)) { // the machine is there and says that nobody listens
                engine.after(2 * net.same(), () -> near.ended(Tracked.Ending.REFUSED));
            }
            return near;
        }
        if (isCut(from, at.site)) {
            near.far = new End(at.site, null, near.number, null);
            near.far.over = true;
            near.far.far = near;
            stuck.add(near);
            return near;
        }
        engine.after(delay(from, at.site), () -> arrived(near, to));
        return near;
    }

    /** The call has come to the machine that it was for. */
    private void arrived(End near, InetSocketAddress to) {
        Listener at = listeners.get(to);
        if (near.over || near.closing || near.ended) {
            return;
        }
        if (at == null) {
            if (!silent.contains(to)) {
                engine.after(net.same(), () -> near.ended(Tracked.Ending.REFUSED));
            }
            return;
        }
        End far = new End(at.site, null, near.number, null);
        far.far = near;
        near.far = far;
        open.computeIfAbsent(at.site, s -> new LinkedHashSet<>()).add(far);
        int balancer = number(near.site);
        log.line("connect", near.site.name(), at.site.name(), near.number, 0);
        at.site.post(() -> {
            LinkEvents taken = far.over ? null : at.acceptor.accept(far, balancer);
            if (taken == null) {
                far.close();
            } else {
                far.events = taken;
                taken.opened();
            }
        });
        far.lastArrival = engine.now() + delay(at.site, near.site);
        engine.at(far.lastArrival, far.course(), () -> {
            if (!near.over && !near.closing) {
                near.site.post(() -> {
                    if (!near.over && !near.closing) {
                        near.events.opened();
                    }
                });
            }
        });
    }

    /** One side of a connection. */
    final class End implements Tracked {
        private final Site site;
        private final long number;
        private final InetSocketAddress to;
        private final ArrayDeque<Delivery> held = new ArrayDeque<>();
        private final ArrayDeque<Delivery> leaving = new ArrayDeque<>();
        private LinkEvents events;
        private End far;
        private boolean dialled;
        /** This side has ended it; the other side has; and this side's process has been told so. */
        private boolean closing;

        private boolean ended;
        private boolean over;
        private boolean reading = true;
        private long lastArrival;
        private int untold;
        private Ending ending = Ending.OPEN;

        private record Delivery(byte[] bytes, Runnable delivered) {}

        End(Site site, LinkEvents events, long number, InetSocketAddress to) {
            this.site = site;
            this.events = events;
            this.number = number;
            this.to = to;
        }

        /** What goes this way on this connection comes in its order. */
        private long course() {
            return 2 * number + (to == null ? 1 : 2);
        }

        private Site peerSite() {
            return far.site;
        }

        @Override
        public void write(byte[] bytes) {
            write(bytes, null);
        }

        @Override
        public void write(byte[] bytes, Runnable delivered) {
            if (closing || ended || over || far == null || bytes.length == 0) {
                return;
            }
            Delivery delivery = new Delivery(bytes, delivered);
            if (!dialled) {
                depart(delivery);
                return;
            }
            leaving.add(delivery);
            engine.at(engine.now() + LEAVING_MICROS, course(), () -> {
                if (leaving.remove(delivery)) {
                    depart(delivery);
                }
            });
        }

        /** The bytes go out, and the process is told so: also one that has closed the connection meanwhile. */
        private void depart(Delivery delivery) {
            if (ended || over) {
                return;
            }
            if (dialled && tap != null) {
                tap.sent(site, number, to, delivery.bytes);
            }
            site.post(() -> {
                if (!over) {
                    events.written();
                }
            });
            if (isCut(site, far.site)) {
                stuck.add(this);
                return;
            }
            lastArrival = Math.max(lastArrival, engine.now() + delay(site, far.site));
            engine.at(lastArrival, course(), () -> far.arrive(delivery));
        }

        private void arrive(Delivery delivery) {
            if (isCut(site, far.site)) {
                stuck.add(far);
                return;
            }
            if (over || closing || ended || !site.alive()) {
                return;
            }
            log.line("bytes", far.site.name(), site.name(), number, sum(delivery.bytes));
            untold += delivery.bytes.length;
            if (reading) {
                tell(delivery);
            } else {
                held.add(delivery);
            }
        }

        private void tell(Delivery delivery) {
            site.post(() -> {
                untold -= delivery.bytes.length;
                if (!over && !closing && events != null) {
                    if (dialled && tap != null) {
                        tap.received(number);
                    }
                    if (delivery.delivered != null) {
                        delivery.delivered.run();
                    }
                    events.received(delivery.bytes);
                }
            });
        }

        @Override
        public void close() {
            if (closing || over) {
                return;
            }
            closing = true;
            if (ended) {
                return; // its end is on the way to this side already
            }
            ending = Ending.BY_THIS_SIDE;
            // What was handed over and has not left may leave all the same, or be dropped: the two cross.
            while (!leaving.isEmpty()) {
                Delivery delivery = leaving.poll();
                if (chance(site).nextBoolean()) {
                    depart(delivery);
                }
            }
            gone();
            site.post(() -> {
                if (!over) {
                    over = true;
                    if (events != null) {
                        events.closed();
                    }
                }
            });
            tellFar(Ending.BY_OTHER_SIDE);
        }

        private void gone() {
            Set<End> ends = open.get(site);
            if (ends != null) {
                ends.remove(this);
            }
            stuck.remove(this);
            if (dialled && tap != null) {
                tap.closed(number);
            }
        }

        private void tellFar(Ending how) {
            if (far == null || far.over) {
                return;
            }
            if (isCut(site, far.site)) {
                stuck.add(far);
                return;
            }
            lastArrival = Math.max(lastArrival, engine.now() + delay(site, far.site));
            engine.at(lastArrival, course(), () -> {
                if (isCut(site, far.site)) {
                    stuck.add(far);
                } else {
                    far.ended(how);
                }
            });
        }

        /** The other side, or the network, has ended it. */
        private void ended(Ending how) {
            if (closing || ended || over || !site.alive()) {
                return;
            }
            ended = true;
            ending = how;
            gone();
            if (how == Ending.CUT) {
                log.line("reset", site.name(), far.site.name(), number, 0);
                if (!far.over && !far.closing && !far.ended) {
                    End other = far;
                    engine.after(delay(site, other.site), () -> other.ended(Ending.CUT));
                }
            }
            site.post(() -> {
                if (!over) {
                    over = true;
                    if (events != null) {
                        events.closed();
                    }
                }
            });
        }

        private void died(boolean silently) {
            over = true;
            stuck.remove(this);
            if (dialled && tap != null) {
                tap.closed(number);
            }
            if (!silently) {
                tellFar(Ending.OTHER_SIDE_DIED);
            }
        }

        @Override
        public void finish(boolean inAnyCase) {
            if (closing || over || !inAnyCase && untold > 0) {
                return; // what has come in is told, and its state machine thinks again
            }
            site.post(() -> {
                if (!over && events != null) {
                    events.finished();
                }
            });
            close(); // what was written has left
        }

        @Override
        public boolean over() {
            return over || ended;
        }

        @Override
        public boolean unread() {
            return untold > 0;
        }

        @Override
        public void reading(boolean on) {
            reading = on;
            while (reading && !held.isEmpty()) {
                tell(held.poll());
            }
        }

        @Override
        public Ending ending() {
            return ending;
        }
    }
}
