package baymoor.link;

/** A connection as its state machine sees it, independent of sockets. Called on the decision thread only. */
public interface Link {

    /** Queues bytes for sending; {@link LinkEvents#written} reports each call whose bytes have all been sent. */
    void write(byte[] bytes);

    /** Closes the connection immediately and drops unsent bytes; {@link LinkEvents#closed} follows. */
    void close();

    /**
     * Closes the output (a TCP half-close) once all queued bytes have been sent, so that the peer receives all of them:
     * closing a socket with unread input would reset the connection. Input that arrives afterwards is dropped.
     * {@link LinkEvents#outputShutDown} reports the completion.
     *
     * @param evenIfUnread if true, the output is closed whatever arrives; if false, it stays open where input has arrived that
     *              {@link LinkEvents#received} had not delivered before this call, and that input is delivered
     */
    void shutdownOutput(boolean evenIfUnread);

    /**
     * Returns the microseconds for which an accepted connection may have waited in the listener's queue, at most. Its first input may
     * be that much older than its delivery tells.
     */
    default long acceptWaitMicros() {
        return 0;
    }

    /** Returns whether input has arrived that {@link LinkEvents#received} has not delivered yet. */
    boolean hasUnreadBytes();

    /** Returns whether the connection is closed, even if {@link LinkEvents#closed} has not reported it yet. */
    boolean isClosed();

    /**
     * Sets how many bytes may wait for {@link LinkEvents#received}, past which the peer is held back. An implementation that does
     * not read ahead of the state machine may ignore it.
     */
    default void setReceiveWindow(int bytes) {}

    /**
     * Drops all further input, and reads on so that {@link #isClosed} and {@link LinkEvents#closed} still tell of the peer's close.
     * An implementation may go on to deliver input instead, which the state machine has to ignore.
     */
    default void discardInput() {}

    /**
     * Pauses or resumes reading, for backpressure on a peer that sends faster than it is served. While reading is paused, the
     * peer's close goes unnoticed unless a write is pending.
     */
    void setReading(boolean on);
}
