package baymoor.net;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.DefaultWriteFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.DefaultWriteRequest;

/** One TCP connection. Its state machine is called on the decision thread only. */
final class MinaLink implements Link {

    /** Seen: clients that send at full speed. What they send must wait in their sockets, not in the queue. */
    private static final int MOST_UNTOLD = 128 * 1024;
    /** Who sends on so much after this side's end has gone out is cut off. */
    private static final int MOST_DROPPED = 64 * 1024;

    private static final int IN_ANY_CASE = -1;

    private final DecisionThread thread;
    private LinkEvents events;
    private volatile IoSession session;
    private volatile boolean abandoned;
    private ConnectFuture connecting;
    private boolean over;
    /** The driver knows that it is over. */
    private volatile boolean ended;
    /** Reads that the driver's one thread has made, and those of them that were told. */
    private int reads;

    private int readsTold;
    /** Driver's thread: this side's output has ended, and what came in since. */
    private boolean finished;

    private int dropped;
    private final AtomicInteger untold = new AtomicInteger();
    /** Whether the state machine wants bytes, and whether the decision thread keeps up with them. */
    private boolean wanted = true;

    private boolean behind;

    MinaLink(DecisionThread thread) {
        this.thread = thread;
    }

    /** Decision thread, before anything is told. */
    void events(LinkEvents listener) {
        events = listener;
    }

    void accepted(IoSession accepted, Function<Link, LinkEvents> clients) {
        session = accepted;
        thread.post(() -> events = clients.apply(this));
    }

    void connecting(ConnectFuture future) {
        connecting = future;
        future.addListener(f -> {
            if (!((ConnectFuture) f).isConnected()) {
                tellClosed();
            }
        });
    }

    /** Driver's thread: the connection is up, unless it is not wanted any more. */
    void up(IoSession opened) {
        session = opened;
        if (abandoned) {
            opened.closeNow();
        } else {
            tell(() -> events.opened());
        }
    }

    void tellReceived(byte[] bytes) {
        if (finished) {
            dropped += bytes.length;
            if (dropped > MOST_DROPPED) {
                session.closeNow();
            }
            return;
        }
        reads++;
        if (untold.addAndGet(bytes.length) > MOST_UNTOLD) {
            read(true, null);
        }
        thread.post(() -> {
            readsTold++;
            boolean caughtUp = untold.addAndGet(-bytes.length) <= MOST_UNTOLD / 2;
            if (!over) {
                events.received(bytes);
            }
            if (caughtUp) {
                read(false, null);
            }
        });
    }

    /** Each of the two that may stop the reading from the socket says so for itself. */
    private synchronized void read(Boolean nowBehind, Boolean nowWanted) {
        boolean before = wanted && !behind;
        behind = nowBehind == null ? behind : nowBehind;
        wanted = nowWanted == null ? wanted : nowWanted;
        boolean after = wanted && !behind;
        if (after && !before) {
            session.resumeRead();
        } else if (before && !after) {
            session.suspendRead();
        }
    }

    void tellWritten() {
        tell(() -> events.written());
    }

    void tellClosed() {
        ended = true;
        tell(() -> {
            over = true;
            events.closed();
        });
    }

    private void tell(Runnable event) {
        thread.post(() -> {
            if (!over) {
                event.run();
            }
        });
    }

    @Override
    public void write(byte[] bytes) {
        IoSession s = session;
        if (s != null && bytes.length > 0) {
            s.write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close() {
        abandoned = true;
        IoSession s = session;
        if (s != null) {
            s.closeNow();
        } else {
            // Still connecting: nothing has been written, so its end can be told without waiting for MINA.
            connecting.cancel();
            tellClosed();
        }
    }

    /**
     * The mark passes through the queue of writes and comes out on the driver's thread, which makes all reads: so nothing
     * can be read between the look at what was read and the end of the output. Seen to be possible without it: a request
     * that was read in the very moment in which its connection was closed as idle, and was lost.
     */
    @Override
    public void finish(boolean inAnyCase) {
        IoSession s = session;
        int expected = inAnyCase ? IN_ANY_CASE : readsTold;
        WriteFuture passed = new DefaultWriteFuture(s);
        passed.addListener(f -> {
            if (((WriteFuture) f).isWritten() && !finished && (expected == IN_ANY_CASE || expected == reads)) {
                finished = true;
                HalfClose.endOutput(s);
                read(false, true); // the other side's end is to be seen
                tell(() -> events.finished());
            }
        });
        s.getFilterChain().fireFilterWrite(new DefaultWriteRequest(HalfClose.mark(), passed));
    }

    @Override
    public boolean unread() {
        return untold.get() > 0;
    }

    @Override
    public boolean over() {
        return ended;
    }

    @Override
    public void reading(boolean on) {
        read(null, on);
    }
}
