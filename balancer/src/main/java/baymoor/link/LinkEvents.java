package baymoor.link;

/** What a connection tells its state machine, always on the decision thread and in this order of events. */
public interface LinkEvents {

    /** The connection is up. */
    void opened();

    /** Bytes came in. */
    void received(byte[] bytes);

    /** The last byte of one {@link Link#write} has been handed to the network. */
    void written();

    /** This side's output has ended, as {@link Link#finish} had it; nothing more is received. */
    default void finished() {}

    /** The connection is over, or never came up. Nothing follows. */
    void closed();
}
