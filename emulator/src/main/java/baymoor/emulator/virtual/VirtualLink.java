package baymoor.emulator.virtual;

import baymoor.emulator.engine.Site;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Tracked;
import baymoor.link.LinkEvents;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Set;

/** One side of a connection in virtual time. */
final class VirtualLink implements Tracked {

    /** From a balancer's word to write until the bytes are with the network, as with a thread of I/O between. */
    private static final long LEAVING_MICROS = 20;

    private final VirtualNet net;
    private final Site site;
    private final long number;
    private final InetSocketAddress to;
    private final ArrayDeque<Delivery> held = new ArrayDeque<>();
    private final ArrayDeque<Delivery> leaving = new ArrayDeque<>();
    private LinkEvents events;
    private VirtualLink far;
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

    VirtualLink(VirtualNet net, Site site, LinkEvents events, long number, InetSocketAddress to) {
        this.net = net;
        this.site = site;
        this.events = events;
        this.number = number;
        this.to = to;
    }

    /** What goes this way on this connection comes in its order. */
    private long course() {
        return 2 * number + (to == null ? 1 : 2);
    }

    long number() {
        return number;
    }

    /** Whether a balancer opened it: then its bytes leave a little later, and the tap sees them. */
    void openedByBalancer(boolean byBalancer) {
        dialled = byBalancer;
    }

    /** Whether this side has ended it, or it has been ended for this side. */
    boolean done() {
        return over || closing || ended;
    }

    /** A call that is lost at a cut: there is no other side. */
    void connectToNobody(Site there) {
        far = new VirtualLink(net, there, null, number, null);
        far.over = true;
        far.far = this;
    }

    /** A call that has come to a machine that listens; gives the other side. */
    VirtualLink connectTo(Site there) {
        far = new VirtualLink(net, there, null, number, null);
        far.far = this;
        return far;
    }

    /** The process that was called takes the connection, or refuses it. */
    void accept(Acceptor acceptor, int balancer) {
        LinkEvents taken = over ? null : acceptor.accept(this, balancer);
        if (taken == null) {
            close();
        } else {
            events = taken;
            taken.opened();
        }
    }

    /** Tells the caller that the connection is up, once that has travelled back. */
    void tellOpened() {
        lastArrival = net.engine.now() + net.delay(site, far.site);
        net.engine.at(lastArrival, course(), () -> far.opened());
    }

    private void opened() {
        if (!over && !closing) {
            site.post(() -> {
                if (!over && !closing) {
                    events.opened();
                }
            });
        }
    }

    /** A cut is over: what was stuck on a way that is open again is lost, and the connection is reset. */
    void healed() {
        if (!net.isCut(site, far.site)) {
            net.stuck.remove(this);
            long after = net.delay(site, far.site);
            net.engine.after(after, () -> ended(Ending.CUT));
        }
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
        net.engine.at(net.engine.now() + LEAVING_MICROS, course(), () -> {
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
        if (dialled && net.tap != null) {
            net.tap.sent(site, number, to, delivery.bytes);
        }
        site.post(() -> {
            if (!over) {
                events.written();
            }
        });
        if (net.isCut(site, far.site)) {
            net.stuck.add(this);
            return;
        }
        lastArrival = Math.max(lastArrival, net.engine.now() + net.delay(site, far.site));
        net.engine.at(lastArrival, course(), () -> far.arrive(delivery));
    }

    private void arrive(Delivery delivery) {
        if (net.isCut(site, far.site)) {
            net.stuck.add(far);
            return;
        }
        if (over || closing || ended || !site.alive()) {
            return;
        }
        net.log.line("bytes", far.site.name(), site.name(), number, net.sum(delivery.bytes));
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
                if (dialled && net.tap != null) {
                    net.tap.received(number);
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
            if (net.chance(site).nextBoolean()) {
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
        Set<VirtualLink> ends = net.open.get(site);
        if (ends != null) {
            ends.remove(this);
        }
        net.stuck.remove(this);
        if (dialled && net.tap != null) {
            net.tap.closed(number);
        }
    }

    private void tellFar(Ending how) {
        if (far == null || far.over) {
            return;
        }
        if (net.isCut(site, far.site)) {
            net.stuck.add(far);
            return;
        }
        lastArrival = Math.max(lastArrival, net.engine.now() + net.delay(site, far.site));
        net.engine.at(lastArrival, course(), () -> {
            if (net.isCut(site, far.site)) {
                net.stuck.add(far);
            } else {
                far.ended(how);
            }
        });
    }

    /** The other side, or the network, has ended it. */
    void ended(Ending how) {
        if (closing || ended || over || !site.alive()) {
            return;
        }
        ended = true;
        ending = how;
        gone();
        if (how == Ending.CUT) {
            net.log.line("reset", site.name(), far.site.name(), number, 0);
            if (!far.over && !far.closing && !far.ended) {
                VirtualLink other = far;
                net.engine.after(net.delay(site, other.site), () -> other.ended(Ending.CUT));
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

    void died(boolean silently) {
        over = true;
        net.stuck.remove(this);
        if (dialled && net.tap != null) {
            net.tap.closed(number);
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
