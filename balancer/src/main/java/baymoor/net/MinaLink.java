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
    private static final int MAX_UNDELIVERED_BYTES = 128 * 1024;
    /** Who sends on so much after this side's end has gone out is cut off. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private static final int ANY_READ_COUNT = -1;

    private final DecisionThread thread;
    private LinkEvents events;
    private volatile IoSession session;
    private volatile boolean closeRequested;
    private ConnectFuture connectFuture;
    private boolean closedDelivered;
    /** The driver knows that it is over. */
    private volatile boolean disconnected;
    /** Reads that the driver's one thread has made, and those of them that were told. */
    private int readCount;

    private int deliveredReads;
    /** Driver's thread: this side's output has ended, and what came in since. */
    private boolean outputShutDown;

    private int discardedBytes;
    private final AtomicInteger undeliveredBytes = new AtomicInteger();
    /** Whether the state machine wants bytes, and whether the decision thread keeps up with them. */
    private boolean readingRequested = true;

    private boolean backlogged;

    MinaLink(DecisionThread thread) {
        this.thread = thread;
    }

    /** Decision thread, before anything is told. */
    void setEvents(LinkEvents listener) {
        events = listener;
    }

    void onAccepted(IoSession acceptedSession, Function<Link, LinkEvents> acceptHandler) {
        session = acceptedSession;
        thread.post(() -> events = acceptHandler.apply(this));
    }

    void onConnecting(ConnectFuture future) {
        connectFuture = future;
        future.addListener(f -> {
            if (!((ConnectFuture) f).isConnected()) {
                onClosed();
            }
        });
    }

    /** Driver's thread: the connection is up, unless it is not wanted any more. */
    void onOpened(IoSession openedSession) {
        session = openedSession;
        if (closeRequested) {
            openedSession.closeNow();
        } else {
            postEvent(() -> events.opened());
        }
    }

    void onReceived(byte[] bytes) {
        if (outputShutDown) {
            discardedBytes += bytes.length;
            if (discardedBytes > MAX_DISCARDED_BYTES) {
                session.closeNow();
            }
            return;
        }
        readCount++;
        if (undeliveredBytes.addAndGet(bytes.length) > MAX_UNDELIVERED_BYTES) {
            updateReading(true, null);
        }
        thread.post(() -> {
            deliveredReads++;
            boolean caughtUp = undeliveredBytes.addAndGet(-bytes.length) <= MAX_UNDELIVERED_BYTES / 2;
            if (!closedDelivered) {
                events.received(bytes);
            }
            if (caughtUp) {
                updateReading(false, null);
            }
        });
    }

    /** Each of the two that may stop the reading from the socket says so for itself. */
    private synchronized void updateReading(Boolean newBacklogged, Boolean newReadingRequested) {
        boolean wasReading = readingRequested && !backlogged;
        backlogged = newBacklogged == null ? backlogged : newBacklogged;
        readingRequested = newReadingRequested == null ? readingRequested : newReadingRequested;
        boolean isReading = readingRequested && !backlogged;
        if (isReading && !wasReading) {
            session.resumeRead();
        } else if (wasReading && !isReading) {
            session.suspendRead();
        }
    }

    void onWritten() {
        postEvent(() -> events.written());
    }

    void onClosed() {
        disconnected = true;
        postEvent(() -> {
            closedDelivered = true;
            events.closed();
        });
    }

    private void postEvent(Runnable event) {
        thread.post(() -> {
            if (!closedDelivered) {
                event.run();
            }
        });
    }

    @Override
    public void write(byte[] bytes) {
        IoSession currentSession = session;
        if (currentSession != null && bytes.length > 0) {
            currentSession.write(IoBuffer.wrap(bytes));
        }
    }

    @Override
    public void close() {
        closeRequested = true;
        IoSession currentSession = session;
        if (currentSession != null) {
            currentSession.closeNow();
        } else {
            // Still connecting: nothing has been written, so its end can be told without waiting for MINA.
            connectFuture.cancel();
            onClosed();
        }
    }

    /**
     * The mark passes through the queue of writes and comes out on the driver's thread, which makes all reads: so nothing
     * can be read between the look at what was read and the end of the output. Seen to be possible without it: a request
     * that was read in the very moment in which its connection was closed as idle, and was lost.
     */
    @Override
    public void finish(boolean evenIfUnread) {
        IoSession currentSession = session;
        int expectedReads = evenIfUnread ? ANY_READ_COUNT : deliveredReads;
        WriteFuture markerWritten = new DefaultWriteFuture(currentSession);
        markerWritten.addListener(f -> {
            if (((WriteFuture) f).isWritten()
                    && !outputShutDown
                    && (expectedReads == ANY_READ_COUNT || expectedReads == readCount)) {
                outputShutDown = true;
                HalfClose.shutdownOutput(currentSession);
                updateReading(false, true); // the other side's end is to be seen
                postEvent(() -> events.finished());
            }
        });
        currentSession.getFilterChain().fireFilterWrite(new DefaultWriteRequest(HalfClose.marker(), markerWritten));
    }

    @Override
    public boolean unread() {
        return undeliveredBytes.get() > 0;
    }

    @Override
    public boolean over() {
        return disconnected;
    }

    @Override
    public void reading(boolean on) {
        updateReading(null, on);
    }
}
