package baymoor.emulator.world;

import baymoor.link.Link;
import baymoor.link.LinkEvents;

/** Accepts the incoming connections of an address. */
@FunctionalInterface
public interface Acceptor {

    /**
     * Accepts or rejects a connection.
     *
     * @param balancer number of the balancer that opened the connection, -1 for clients and others
     * @return the handler of the connection's events, or null to close the connection
     */
    LinkEvents accept(Link link, int balancer);
}
