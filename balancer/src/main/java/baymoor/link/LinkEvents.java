package baymoor.link;

/** Receives the events of a connection, in order and on the decision thread. */
public interface LinkEvents {

    /** The connection has been established. */
    void opened();

    /** Bytes have been received. */
    void received(byte[] bytes);

    /** The last byte of one {@link Link#write} has been handed to the network. */
    void written();

    /** The output has been closed, as requested by {@link Link#shutdownOutput}; no more bytes are received. */
    default void outputShutDown() {}

    /**
     * The peer has closed its output in order, behind all of its bytes; {@link #closed} follows. Not raised where the connection was
     * reset or closed by this side.
     */
    default void inputEnded() {}

    /** The connection has been closed, or could not be established. This is the last event. */
    void closed();
}
