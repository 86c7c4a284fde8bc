package baymoor.emulator.world;

import baymoor.link.Link;

/** A connection of a driver that knows more of it than a socket tells. */
public interface Tracked extends Link {

    /** As {@link Link#write}; {@code delivered} runs when the other side's process has taken the last byte in. */
    void write(byte[] bytes, Runnable delivered);

    /** Why the connection ended, once it has. */
    Ending ending();

    /** Who ended a connection. */
    enum Ending {
        OPEN,
        BY_THIS_SIDE,
        BY_OTHER_SIDE,
        OTHER_SIDE_DIED,
        REFUSED,
        CUT
    }
}
