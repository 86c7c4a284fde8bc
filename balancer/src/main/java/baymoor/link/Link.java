package baymoor.link;

/** One connection as a state machine sees it: somewhere to put bytes, and a way to end it. */
public interface Link {

    /** Queues bytes; {@link LinkEvents#written} tells when the last byte of each call has left. */
    void write(byte[] bytes);

    /** Ends the connection at once and drops what has not left; {@link LinkEvents#closed} follows. */
    void close();

    /**
     * Ends this side's output once everything queued has left, so that the other side gets all of it: a close over bytes
     * that nobody has read would reset the connection. What comes in from then on is dropped, and its sender knows that.
     * {@link LinkEvents#finished} tells when that is done.
     *
     * @param force whether that holds also where bytes have come in that {@link LinkEvents#received} had not told of
     *                  when this was called; without it they are told instead, and nothing is ended
     */
    void finish(boolean force);

    /** Whether bytes have come in that {@link LinkEvents#received} has not told of yet. */
    boolean unread();

    /** Whether the connection is over, though {@link LinkEvents#closed} has not told of it yet. */
    boolean over();

    /** Stops or resumes reading, so that a peer that sends faster than it is answered has to wait. */
    void reading(boolean on);
}
