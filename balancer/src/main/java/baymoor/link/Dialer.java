package baymoor.link;

import java.net.InetSocketAddress;

/** Opens connections; one that fails is told by {@link LinkEvents#closed} without {@code opened} before it. */
@FunctionalInterface
public interface Dialer {
    /** Begins to open a connection, whose events go to the given listener. */
    Link dial(InetSocketAddress to, LinkEvents events);
}
