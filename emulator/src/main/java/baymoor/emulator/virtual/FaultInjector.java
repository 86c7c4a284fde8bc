package baymoor.emulator.virtual;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.Time;

/** Wraps the connections of balancers. Runs use {@link #NONE}; tests of the judge make a correct balancer misbehave. */
interface FaultInjector {

    FaultInjector NONE = new FaultInjector() {};

    /** Wraps the dialer of a balancer. */
    default Dialer wrapDialer(Time time, Dialer actual) {
        return actual;
    }

    /** Wraps a connection that a client opened to a balancer. */
    default Link wrapClientLink(Time time, Link actual) {
        return actual;
    }
}
