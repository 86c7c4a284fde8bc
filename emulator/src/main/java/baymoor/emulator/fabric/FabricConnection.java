package baymoor.emulator.fabric;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.util.function.Function;

/**
 * A proxied connection of the fabric: the host uses it as its {@link Link}, the real connection reports its events to it.
 * What is sent during a cut is dropped, and the connection is reset once the cut has ended.
 */
final class FabricConnection implements Link, LinkEvents {

    private final Fabric fabric;
    private final Link link;
    private final int openerZone;
    private final int hostZone;
    private LinkEvents host;
    /** Whether an event or bytes for the host were dropped at a cut. */
    private boolean inboundLost;

    /** Whether bytes or a close from the host were dropped at a cut. */
    private boolean outboundLost;
    /** Whether the host was told of the close, or never accepted the connection. */
    private boolean hostNotified;
    /** Whether the real connection has closed. */
    private boolean connectionClosed;

    FabricConnection(Fabric fabric, Link link, int openerZone, int hostZone) {
        this.fabric = fabric;
        this.link = link;
        this.openerZone = openerZone;
        this.hostZone = hostZone;
    }

    /** Hands the connection to the host, or drops it if the zones are cut off. */
    void accept(Function<Link, LinkEvents> acceptor) {
        if (fabric.isCut(openerZone, hostZone)) {
            inboundLost = true;
            hostNotified = true;
            return;
        }
        host = acceptor.apply(this);
        if (host == null) {
            hostNotified = true;
            link.close();
        }
    }

    private boolean canReceive() {
        return !hostNotified && !inboundLost && !fabric.isCut(openerZone, hostZone);
    }

    private boolean canSend() {
        return !connectionClosed && !outboundLost && !fabric.isCut(hostZone, openerZone);
    }

    /** Resets the connection if something was dropped and neither direction is cut any more. */
    void cutEnded() {
        if (!inboundLost && !outboundLost || fabric.isCut(openerZone, hostZone) || fabric.isCut(hostZone, openerZone)) {
            return;
        }
        fabric.countReset();
        inboundLost = false;
        outboundLost = false;
        if (connectionClosed) {
            finishClose();
        } else {
            link.close();
        }
    }

    private void finishClose() {
        fabric.remove(this);
        notifyHostClosed();
    }

    private void notifyHostClosed() {
        if (!hostNotified) {
            hostNotified = true;
            host.closed();
        }
    }

    // Called by the host.

    @Override
    public void write(byte[] bytes) {
        if (canSend()) {
            link.write(bytes);
        } else {
            outboundLost = true;
            fabric.countHeldBytes(bytes.length);
        }
    }

    @Override
    public void close() {
        if (canSend()) {
            link.close();
        } else {
            closeDuringCut();
        }
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        if (canSend()) {
            link.shutdownOutput(evenIfUnread);
        } else {
            closeDuringCut();
        }
    }

    /** Closes the connection for the host; the other side is reset once the cut has ended. */
    private void closeDuringCut() {
        outboundLost = true;
        fabric.time.schedule(0, this::notifyHostClosed);
    }

    @Override
    public boolean hasUnreadBytes() {
        return link.hasUnreadBytes();
    }

    @Override
    public boolean isClosed() {
        return link.isClosed();
    }

    @Override
    public void setReading(boolean on) {
        link.setReading(on);
    }

    // Called by the real connection.

    @Override
    public void opened() {
        if (canReceive()) {
            host.opened();
        }
    }

    @Override
    public void received(byte[] bytes) {
        if (canReceive()) {
            host.received(bytes);
        } else {
            inboundLost = true;
            fabric.countHeldBytes(bytes.length);
        }
    }

    @Override
    public void written() {
        if (!hostNotified && canSend()) {
            host.written();
        }
    }

    @Override
    public void outputShutDown() {
        if (!hostNotified) {
            host.outputShutDown();
        }
    }

    @Override
    public void inputEnded() {
        if (canReceive()) {
            host.inputEnded();
        }
    }

    @Override
    public void closed() {
        connectionClosed = true;
        if (fabric.isCut(openerZone, hostZone) && !hostNotified) {
            inboundLost = true; // reported to the host when the cut ends
        } else {
            finishClose();
        }
    }
}
