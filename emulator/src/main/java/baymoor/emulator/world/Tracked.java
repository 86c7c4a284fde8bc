package baymoor.emulator.world;

import baymoor.link.Link;

/** A link that also reports delivery and the cause of its end, which a socket cannot. */
public interface Tracked extends Link {

    /** Queues bytes as {@link Link#write} does; {@code delivered} runs once the peer process has received all. */
    void write(byte[] bytes, Runnable delivered);

    /** Returns why the connection ended, or {@code OPEN}. */
    Ending ending();

    /** Cause of the end of a connection. */
    enum Ending {
        OPEN,
        BY_THIS_SIDE,
        BY_OTHER_SIDE,
        OTHER_SIDE_DIED,
        REFUSED,
        CUT
    }
}
