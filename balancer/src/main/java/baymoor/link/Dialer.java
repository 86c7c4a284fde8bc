package baymoor.link;

import java.net.InetSocketAddress;

/** Opens outgoing connections. A failure is reported by {@link LinkEvents#closed} without {@code opened} before it. */
@FunctionalInterface
public interface Dialer {
    /** Starts to open a connection and returns at once; {@code events} receives its events. */
    Link dial(InetSocketAddress to, LinkEvents events);
}
