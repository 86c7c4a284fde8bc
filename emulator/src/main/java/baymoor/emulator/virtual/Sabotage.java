package baymoor.emulator.virtual;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.Time;

/**
 * What stands between the balancers and their connections. In a run nothing does; a test of the judge puts something
 * here that makes a good balancer act like a faulty one.
 */
interface Sabotage {

    Sabotage NONE = new Sabotage() {};

    /** The connections that a balancer opens. */
    default Dialer dialer(Time time, Dialer real) {
        return real;
    }

    /** A connection that a client has opened. */
    default Link client(Time time, Link real) {
        return real;
    }
}
