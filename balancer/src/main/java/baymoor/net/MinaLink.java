package baymoor.net;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.DefaultWriteFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.write.DefaultWriteRequest;

/**
 * One TCP connection on a MINA session. Its {@link LinkEvents} are called on the decision thread only, which also calls the
 * methods of {@link Link}; methods named {@code on...} may be called on MINA's threads.
 */
final class MinaLink implements Link {

    /** The receive window of a connection that is not a client's. */
    private static final int DEFAULT_WINDOW_BYTES = 128 * 1024;
    /** What a read takes beside its bytes while it waits for the decision thread. */
    private static final int READ_OVERHEAD_BYTES = 128;

    private static final int USUAL_READ_BUFFER_BYTES = 2048;
    private static final int MAX_READ_BUFFER_BYTES = 64 * 1024;
    /** A peer that sends more than this after the output was shut down is disconnected. */
    private static final int MAX_DISCARDED_BYTES = 64 * 1024;

    private static final int ANY_READ_COUNT = -1;

    private final DecisionThread thread;
    private final ClientMemory memory;
    private final int defaultWindowBytes;
    private volatile long acceptWaitMicros;
    private LinkEvents events;
    private volatile IoSession session;
    private volatile boolean closeRequested;
    private ConnectFuture connectFuture;
    private boolean closedDelivered;
    /** The connection is closed, though {@link LinkEvents#closed} may not have been delivered yet. */
    private volatile boolean disconnected;
    /** Reads that the I/O thread has made. */
    private int readCount;

    /** Reads that the decision thread has delivered. */
    private int deliveredReads;
    /** Whether input is dropped without delivery. */
    private volatile boolean discarding;

    /** Used on the I/O thread only, as is {@link #discardedBytes}. */
    private boolean outputShutDown;

    private int discardedBytes;
    private final AtomicInteger undeliveredBytes = new AtomicInteger();
    /** Whether the state machine wants bytes. */
    private boolean readingRequested = true;

    /** Reading is suspended while more bytes than this wait for delivery, so that TCP flow control holds back a fast sender. */
    private volatile int receiveWindowBytes;

    /** Whether more bytes wait for delivery than {@link #receiveWindowBytes}. */
    private boolean backlogged;

    /**
     * @param memory is charged with the bytes that wait for delivery, or null
     */
    MinaLink(DecisionThread thread, ClientMemory memory) {
        this.thread = thread;
        this.memory = memory;
        defaultWindowBytes = memory == null ? DEFAULT_WINDOW_BYTES : memory.connectionWindowBytes();
        receiveWindowBytes = defaultWindowBytes;
    }

    /** Sets the receiver of events, before the first event is posted. */
    void setEvents(LinkEvents listener) {
        events = listener;
    }

    /**
     * Hands an accepted connection to its handler.
     *
     * @param queuedMicros how long it may have waited in the listener's queue, at most
     */
    void onAccepted(IoSession acceptedSession, long queuedMicros, Function<Link, LinkEvents> acceptHandler) {
        session = acceptedSession;
        acceptWaitMicros = queuedMicros;
        if (memory != null) {
            setReceiveWindow(defaultWindowBytes);
        }
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

    /** Reports the connection as open, or closes it if {@link #close} was called meanwhile. */
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
        if (discarding) {
            return;
        }
        readCount++;
        if (addUndelivered(bytes.length + READ_OVERHEAD_BYTES) > receiveWindowBytes) {
            updateReading(true, null);
        }
        thread.post(() -> {
            deliveredReads++;
            boolean caughtUp = addUndelivered(-bytes.length - READ_OVERHEAD_BYTES) <= receiveWindowBytes / 2;
            if (!closedDelivered) {
                events.received(bytes);
            }
            if (caughtUp) {
                updateReading(false, null);
            }
        });
    }

    private int addUndelivered(int bytes) {
        if (memory != null) {
            memory.add(Part.UNDELIVERED_INPUT, bytes);
        }
        return undeliveredBytes.addAndGet(bytes);
    }

    /** Suspends or resumes reading from the socket when either of the two reasons to do so changes; null leaves one as it is. */
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

    void onInputEnded() {
        postEvent(() -> events.inputEnded());
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
            // Still connecting: nothing was written, so the close can be reported without waiting for MINA.
            connectFuture.cancel();
            onClosed();
        }
    }

    /**
     * {@inheritDoc}
     *
     * <p>An empty write serves as a marker: it leaves the queue of writes on the I/O thread, which makes all reads, so no read
     * can come between the check of the read count and the shutdown of the output. Otherwise a request that is read while its
     * connection is closed as idle would be lost.
     */
    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        IoSession currentSession = session;
        int expectedReads = evenIfUnread ? ANY_READ_COUNT : deliveredReads;
        WriteFuture markerWritten = new DefaultWriteFuture(currentSession);
        markerWritten.addListener(f -> {
            if (((WriteFuture) f).isWritten()
                    && !outputShutDown
                    && (expectedReads == ANY_READ_COUNT || expectedReads == readCount)) {
                outputShutDown = true;
                HalfClose.shutdownOutput(currentSession);
                updateReading(false, true); // so that the peer's FIN is noticed
                postEvent(() -> events.outputShutDown());
            }
        });
        currentSession.getFilterChain().fireFilterWrite(new DefaultWriteRequest(HalfClose.marker(), markerWritten));
    }

    @Override
    public long acceptWaitMicros() {
        return acceptWaitMicros;
    }

    @Override
    public boolean hasUnreadBytes() {
        return undeliveredBytes.get() > 0;
    }

    @Override
    public boolean isClosed() {
        return disconnected;
    }

    @Override
    public void discardInput() {
        discarding = true;
        session.getConfig().setMaxReadBufferSize(MAX_READ_BUFFER_BYTES);
        updateReading(null, true);
    }

    @Override
    public void setReceiveWindow(int bytes) {
        receiveWindowBytes = bytes;
        int maxReadBytes = Math.min(MAX_READ_BUFFER_BYTES, bytes);
        boolean widened = bytes > defaultWindowBytes;
        session.getConfig().setMaxReadBufferSize(maxReadBytes);
        session.getConfig().setReadBufferSize(widened ? maxReadBytes : Math.min(USUAL_READ_BUFFER_BYTES, maxReadBytes));
    }

    @Override
    public void setReading(boolean on) {
        updateReading(null, on);
    }
}
