package baymoor.emulator.world;

import baymoor.link.Link;
import baymoor.link.LinkEvents;

/** Takes the connections that come in at an address. */
@FunctionalInterface
public interface Acceptor {

    /**
     * @param balancer number of the balancer that the connection is from, -1 for clients and others
     * @return the state machine of the connection, or null to close it unheard
     */
    LinkEvents accept(Link link, int balancer);
}
