package baymoor.link;

/** One connection as a state machine sees it: somewhere to put bytes, and a way to end it. */
public interface Link {

    /** Queues bytes; {@link LinkEvents#written} tells when the last byte of each call has left. */
    void write(byte[] bytes);

    /** Ends the connection at once and drops what has not left; {@link LinkEvents#closed} follows. */
    void close();

    /** Ends the connection once everything queued has left. */
    void closeWhenWritten();

    /** Whether bytes have come in that {@link LinkEvents#received} has not told of yet. */
    boolean unread();

    /** Stops or resumes reading, so that a peer that sends faster than it is answered has to wait. */
    void reading(boolean on);
}
