package baymoor.emulator.virtual;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.Time;

/**
 * What stands between the balancers and their connections. In a run nothing does; a test of the judge puts something
 * here that makes a good balancer act like a faulty one.
 */
interface FaultInjector {

    FaultInjector NONE = new FaultInjector() {};

    /** The connections that a balancer opens. */
    default Dialer wrapDialer(Time time, Dialer actual) {
        return actual;
    }

    /** A connection that a client has opened. */
    default Link wrapClientLink(Time time, Link actual) {
        return actual;
    }
}
