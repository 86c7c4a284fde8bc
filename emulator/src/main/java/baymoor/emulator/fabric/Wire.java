package baymoor.emulator.fabric;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.util.function.Function;

/**
 * One connection through the fabric: to its host a connection, to the real one what happens on it. While its zones are cut off
 * neither hears of the other; what one says meanwhile is lost, and the connection with it once the cut is over.
 */
final class Wire implements Link, LinkEvents {

    private final Fabric fabric;
    private final Link link;
    private final int near;
    private final int far;
    private LinkEvents host;
    /** Something was said or done that the host, or the real connection, never heard of. */
    private boolean lostIn;

    private boolean lostOut;
    /** The host knows that it is over, or never heard of it. */
    private boolean told;
    /** The real connection is over. */
    private boolean ended;

    Wire(Fabric fabric, Link link, int near, int far) {
        this.fabric = fabric;
        this.link = link;
        this.near = near;
        this.far = far;
    }

    /** The call comes to the host, or is stuck at a cut like all else. */
    void accepted(Function<Link, LinkEvents> acceptor) {
        if (fabric.isCut(near, far)) {
            lostIn = true;
            told = true;
            return;
        }
        host = acceptor.apply(this);
        if (host == null) {
            told = true;
            link.close();
        }
    }

    private boolean hears() {
        return !told && !lostIn && !fabric.isCut(near, far);
    }

    private boolean says() {
        return !ended && !lostOut && !fabric.isCut(far, near);
    }

    /** A cut is over: where neither way is cut any more, what was stuck is reset. */
    void healed() {
        if (!lostIn && !lostOut || fabric.isCut(near, far) || fabric.isCut(far, near)) {
            return;
        }
        fabric.reset();
        lostIn = false;
        lostOut = false;
        if (ended) {
            end();
        } else {
            link.close();
        }
    }

    private void end() {
        fabric.over(this);
        tell();
    }

    private void tell() {
        if (!told) {
            told = true;
            host.closed();
        }
    }

    // ---- the host's side

    @Override
    public void write(byte[] bytes) {
        if (says()) {
            link.write(bytes);
        } else {
            lostOut = true;
            fabric.held(bytes.length);
        }
    }

    @Override
    public void close() {
        if (says()) {
            link.close();
        } else {
            closeUnheard();
        }
    }

    @Override
    public void finish(boolean inAnyCase) {
        if (says()) {
            link.finish(inAnyCase);
        } else {
            closeUnheard();
        }
    }

    /** The host is done with it; the other side will hear of that once the cut is over. */
    private void closeUnheard() {
        lostOut = true;
        fabric.time.after(0, this::tell);
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
        if (hears()) {
            host.opened();
        }
    }

    @Override
    public void received(byte[] bytes) {
        if (hears()) {
            host.received(bytes);
        } else {
            lostIn = true;
            fabric.held(bytes.length);
        }
    }

    @Override
    public void written() {
        if (!told && says()) {
            host.written();
        }
    }

    @Override
    public void finished() {
        if (!told) {
            host.finished();
        }
    }

    @Override
    public void closed() {
        ended = true;
        if (fabric.isCut(near, far) && !told) {
            lostIn = true; // the host hears of it when the cut is over
        } else {
            end();
        }
    }
}
