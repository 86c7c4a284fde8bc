package baymoor.emulator.fabric;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.util.function.Function;

/**
 * One connection through the fabric: to its host a connection, to the real one what happens on it. While its zones are cut off
 * neither hears of the other; what one says meanwhile is lost, and the connection with it once the cut is over.
 */
final class FabricConnection implements Link, LinkEvents {

    private final Fabric fabric;
    private final Link link;
    private final int openerZone;
    private final int hostZone;
    private LinkEvents host;
    /** Something was said or done that the host, or the real connection, never heard of. */
    private boolean inboundLost;

    private boolean outboundLost;
    /** The host knows that it is over, or never heard of it. */
    private boolean hostNotified;
    /** The real connection is over. */
    private boolean connectionClosed;

    FabricConnection(Fabric fabric, Link link, int openerZone, int hostZone) {
        this.fabric = fabric;
        this.link = link;
        this.openerZone = openerZone;
        this.hostZone = hostZone;
    }

    /** The call comes to the host, or is stuck at a cut like all else. */
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

    /** A cut is over: where neither way is cut any more, what was stuck is reset. */
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

    // ---- the host's side

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
    public void finish(boolean inAnyCase) {
        if (canSend()) {
            link.finish(inAnyCase);
        } else {
            closeDuringCut();
        }
    }

    /** The host is done with it; the other side will hear of that once the cut is over. */
    private void closeDuringCut() {
        outboundLost = true;
        fabric.time.after(0, this::notifyHostClosed);
    }

    @Override
    public boolean unread() {
        return link.unread();
    }

    @Override
    public boolean over() {
        return link.over();
    }

    @Override
    public void reading(boolean on) {
        link.reading(on);
    }

    // ---- the real connection's side

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
    public void finished() {
        if (!hostNotified) {
            host.finished();
        }
    }

    @Override
    public void closed() {
        connectionClosed = true;
        if (fabric.isCut(openerZone, hostZone) && !hostNotified) {
            inboundLost = true; // the host hears of it when the cut is over
        } else {
            finishClose();
        }
    }
}
