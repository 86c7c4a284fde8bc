package baymoor.emulator.virtual;

import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.world.Acceptor;
import baymoor.emulator.world.Tracked;
import baymoor.link.LinkEvents;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Set;

/** One endpoint of a connection in virtual time. */
final class VirtualLink implements Tracked {

    /** Delay between a write by a balancer and the bytes entering the network, as with a separate I/O thread. */
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
    /** Whether this side has closed the connection. */
    private boolean closedLocally;

    /** Whether the other side or the network has closed it. */
    private boolean closedRemotely;
    /** Whether this side's process has been notified of the close, or has died. */
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

    /** Returns the key that keeps the events of this direction of the connection in order. */
    private long orderingKey() {
        return 2 * number + (remoteAddress == null ? 1 : 2);
    }

    long number() {
        return number;
    }

    /** Sets whether a balancer opened it: its bytes are then sent with a delay and shown to the observer. */
    void setOpenedByBalancer(boolean byBalancer) {
        openedByBalancer = byBalancer;
    }

    /** Returns whether either side or the network has closed it. */
    boolean isClosedOnAnySide() {
        return closeDelivered || closedLocally || closedRemotely;
    }

    /** Connects to an endpoint that never responds, as the connection attempt is lost at a cut. */
    void connectUnreachable(VirtualProcess peerProcess) {
        peer = new VirtualLink(net, peerProcess, null, number, null);
        peer.closeDelivered = true;
        peer.peer = this;
    }

    /** Connects to a process that listens and returns the endpoint on its side. */
    VirtualLink connectTo(VirtualProcess peerProcess) {
        peer = new VirtualLink(net, peerProcess, null, number, null);
        peer.peer = this;
        return peer;
    }

    /** Lets the listening process accept or refuse the connection. */
    void accept(Acceptor acceptor, int balancer) {
        LinkEvents taken = closeDelivered ? null : acceptor.accept(this, balancer);
        if (taken == null) {
            close();
        } else {
            events = taken;
            taken.opened();
        }
    }

    /** Notifies the caller after the network delay that the connection is established. */
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

    /** Resets the connection, unless its direction is still cut. */
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

    /** Sends the bytes and notifies the process that they were written, even if it has closed the connection meanwhile. */
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
            return; // the notification of the close is queued already
        }
        ending = Ending.BY_THIS_SIDE;
        // Unsent writes race with the close: each is either sent or dropped.
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

    /** Closes this endpoint on behalf of the other side or the network. */
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
                    if (cause == Ending.BY_OTHER_SIDE) {
                        events.inputEnded();
                    }
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
    public void shutdownOutput(boolean evenIfUnread) {
        if (closedLocally || closeDelivered || !evenIfUnread && undeliveredBytes > 0) {
            return; // the pending bytes are delivered first and may change the decision
        }
        process.post(() -> {
            if (!closeDelivered && events != null) {
                events.outputShutDown();
            }
        });
        close();
    }

    @Override
    public boolean isClosed() {
        return closeDelivered || closedRemotely;
    }

    @Override
    public boolean hasUnreadBytes() {
        return undeliveredBytes > 0;
    }

    @Override
    public void setReading(boolean on) {
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
