package baymoor.emulator.virtual;

import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Tracked;
import baymoor.link.LinkEvents;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Set;

/** One side of a connection in virtual time. */
final class VirtualLink implements Tracked {

    /** From a balancer's word to write until the bytes are with the network, as with a thread of I/O between. */
    private static final long SEND_DELAY_MICROS = 20;

    private final VirtualNet net;
    private final VirtualProcess process;
    private final long number;
    private final InetSocketAddress remoteAddress;
    private final ArrayDeque<Delivery> pausedDeliveries = new ArrayDeque<>();
    private final ArrayDeque<Delivery> queuedDeliveries = new ArrayDeque<>();
    private LinkEvents events;
    private VirtualLink peer;
    private boolean openedByBalancer;
    /** This side has ended it; the other side has; and this side's process has been told so. */
    private boolean closedLocally;

    private boolean closedRemotely;
    private boolean closeDelivered;
    private boolean reading = true;
    private long lastArrival;
    private int undeliveredBytes;
    private Ending ending = Ending.OPEN;

    private record Delivery(byte[] bytes, Runnable onDelivered) {}

    VirtualLink(
            VirtualNet net, VirtualProcess process, LinkEvents events, long number, InetSocketAddress remoteAddress) {
        this.net = net;
        this.process = process;
        this.events = events;
        this.number = number;
        this.remoteAddress = remoteAddress;
    }

    /** What goes this way on this connection comes in its order. */
    private long orderingKey() {
        return 2 * number + (remoteAddress == null ? 1 : 2);
    }

    long number() {
        return number;
    }

    /** Whether a balancer opened it: then its bytes leave a little later, and the tap sees them. */
    void setOpenedByBalancer(boolean byBalancer) {
        openedByBalancer = byBalancer;
    }

    /** Whether this side has ended it, or it has been ended for this side. */
    boolean isClosed() {
        return closeDelivered || closedLocally || closedRemotely;
    }

    /** A call that is lost at a cut: there is no other side. */
    void connectUnreachable(VirtualProcess peerProcess) {
        peer = new VirtualLink(net, peerProcess, null, number, null);
        peer.closeDelivered = true;
        peer.peer = this;
    }

    /** A call that has come to a machine that listens; gives the other side. */
    VirtualLink connectTo(VirtualProcess peerProcess) {
        peer = new VirtualLink(net, peerProcess, null, number, null);
        peer.peer = this;
        return peer;
    }

    /** The process that was called takes the connection, or refuses it. */
    void accept(Acceptor acceptor, int balancer) {
        LinkEvents taken = closeDelivered ? null : acceptor.accept(this, balancer);
        if (taken == null) {
            close();
        } else {
            events = taken;
            taken.opened();
        }
    }

    /** Tells the caller that the connection is up, once that has travelled back. */
    void notifyOpened() {
        lastArrival = net.engine.now() + net.delay(process, peer.process);
        net.engine.schedule(lastArrival, orderingKey(), () -> peer.opened());
    }

    private void opened() {
        if (!closeDelivered && !closedLocally) {
            process.post(() -> {
                if (!closeDelivered && !closedLocally) {
                    events.opened();
                }
            });
        }
    }

    /** A cut is over: what was stuck on a way that is open again is lost, and the connection is reset. */
    void resetAfterCut() {
        if (!net.isCut(process, peer.process)) {
            net.blocked.remove(this);
            long after = net.delay(process, peer.process);
            net.engine.after(after, () -> closedByNetwork(Ending.CUT));
        }
    }

    @Override
    public void write(byte[] bytes) {
        write(bytes, null);
    }

    @Override
    public void write(byte[] bytes, Runnable onDelivered) {
        if (closedLocally || closedRemotely || closeDelivered || peer == null || bytes.length == 0) {
            return;
        }
        Delivery delivery = new Delivery(bytes, onDelivered);
        if (!openedByBalancer) {
            transmit(delivery);
            return;
        }
        queuedDeliveries.add(delivery);
        net.engine.schedule(net.engine.now() + SEND_DELAY_MICROS, orderingKey(), () -> {
            if (queuedDeliveries.remove(delivery)) {
                transmit(delivery);
            }
        });
    }

    /** The bytes go out, and the process is told so: also one that has closed the connection meanwhile. */
    private void transmit(Delivery delivery) {
        if (closedRemotely || closeDelivered) {
            return;
        }
        if (openedByBalancer && net.observer != null) {
            net.observer.sent(process, number, remoteAddress, delivery.bytes);
        }
        process.post(() -> {
            if (!closeDelivered) {
                events.written();
            }
        });
        if (net.isCut(process, peer.process)) {
            net.blocked.add(this);
            return;
        }
        lastArrival = Math.max(lastArrival, net.engine.now() + net.delay(process, peer.process));
        net.engine.schedule(lastArrival, orderingKey(), () -> peer.arrive(delivery));
    }

    private void arrive(Delivery delivery) {
        if (net.isCut(process, peer.process)) {
            net.blocked.add(peer);
            return;
        }
        if (closeDelivered || closedLocally || closedRemotely || !process.alive()) {
            return;
        }
        net.log.append("bytes", peer.process.name(), process.name(), number, net.checksum(delivery.bytes));
        undeliveredBytes += delivery.bytes.length;
        if (reading) {
            deliver(delivery);
        } else {
            pausedDeliveries.add(delivery);
        }
    }

    private void deliver(Delivery delivery) {
        process.post(() -> {
            undeliveredBytes -= delivery.bytes.length;
            if (!closeDelivered && !closedLocally && events != null) {
                if (openedByBalancer && net.observer != null) {
                    net.observer.received(number);
                }
                if (delivery.onDelivered != null) {
                    delivery.onDelivered.run();
                }
                events.received(delivery.bytes);
            }
        });
    }

    @Override
    public void close() {
        if (closedLocally || closeDelivered) {
            return;
        }
        closedLocally = true;
        if (closedRemotely) {
            return; // its end is on the way to this side already
        }
        ending = Ending.BY_THIS_SIDE;
        // What was handed over and has not left may leave all the same, or be dropped: the two cross.
        while (!queuedDeliveries.isEmpty()) {
            Delivery delivery = queuedDeliveries.poll();
            if (net.random(process).nextBoolean()) {
                transmit(delivery);
            }
        }
        deregister();
        process.post(() -> {
            if (!closeDelivered) {
                closeDelivered = true;
                if (events != null) {
                    events.closed();
                }
            }
        });
        notifyPeerClosed(Ending.BY_OTHER_SIDE);
    }

    private void deregister() {
        Set<VirtualLink> links = net.open.get(process);
        if (links != null) {
            links.remove(this);
        }
        net.blocked.remove(this);
        if (openedByBalancer && net.observer != null) {
            net.observer.closed(number);
        }
    }

    private void notifyPeerClosed(Ending cause) {
        if (peer == null || peer.closeDelivered) {
            return;
        }
        if (net.isCut(process, peer.process)) {
            net.blocked.add(peer);
            return;
        }
        lastArrival = Math.max(lastArrival, net.engine.now() + net.delay(process, peer.process));
        net.engine.schedule(lastArrival, orderingKey(), () -> {
            if (net.isCut(process, peer.process)) {
                net.blocked.add(peer);
            } else {
                peer.closedByNetwork(cause);
            }
        });
    }

    /** The other side, or the network, has ended it. */
    void closedByNetwork(Ending cause) {
        if (closedLocally || closedRemotely || closeDelivered || !process.alive()) {
            return;
        }
        closedRemotely = true;
        ending = cause;
        deregister();
        if (cause == Ending.CUT) {
            net.log.append("reset", process.name(), peer.process.name(), number, 0);
            if (!peer.closeDelivered && !peer.closedLocally && !peer.closedRemotely) {
                VirtualLink other = peer;
                net.engine.after(net.delay(process, other.process), () -> other.closedByNetwork(Ending.CUT));
            }
        }
        process.post(() -> {
            if (!closeDelivered) {
                closeDelivered = true;
                if (events != null) {
                    events.closed();
                }
            }
        });
    }

    void processDied(boolean silently) {
        closeDelivered = true;
        net.blocked.remove(this);
        if (openedByBalancer && net.observer != null) {
            net.observer.closed(number);
        }
        if (!silently) {
            notifyPeerClosed(Ending.OTHER_SIDE_DIED);
        }
    }

    @Override
    public void finish(boolean inAnyCase) {
        if (closedLocally || closeDelivered || !inAnyCase && undeliveredBytes > 0) {
            return; // what has come in is told, and its state machine thinks again
        }
        process.post(() -> {
            if (!closeDelivered && events != null) {
                events.finished();
            }
        });
        close(); // what was written has left
    }

    @Override
    public boolean over() {
        return closeDelivered || closedRemotely;
    }

    @Override
    public boolean unread() {
        return undeliveredBytes > 0;
    }

    @Override
    public void reading(boolean on) {
        reading = on;
        while (reading && !pausedDeliveries.isEmpty()) {
            deliver(pausedDeliveries.poll());
        }
    }

    @Override
    public Ending ending() {
        return ending;
    }
}
