package baymoor.emulator.world;

import baymoor.link.Dialer;
import baymoor.link.Time;
import java.net.InetSocketAddress;

/**
 * Network, clock and timers of an emulated deployment: in virtual time, or with sockets on the loopback interface. A
 * place is the number of an address, at which different hosts may listen one after another.
 */
public interface Platform extends DiscoveryService.AddressResolver {

    /** Returns the clock and timers of a host. */
    Time time(String host, int zone);

    /** Accepts connections at a place on behalf of a host. */
    void listen(int place, String host, int zone, Acceptor acceptor);

    /** Accepts connections at a place on a balancer's machine, which only that balancer uses. */
    void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor);

    /**
     * Stops accepting connections at a place.
     *
     * @param silently whether the machine disappears without closing its connections
     */
    void stopListening(int place, boolean silently);

    /** Returns the dialer of the clients of a zone. */
    Dialer clients(int zone);

    /** Returns the address at which a balancer accepts clients. */
    InetSocketAddress balancer(int number);

    /** Returns the address of a balancer's datagram socket, as the balancer {@code seenBy} has to use it. */
    InetSocketAddress peer(int number, int seenBy);

    /** Returns the address that reaches all balancers, or null if each has to be sent its own datagram. */
    InetSocketAddress everyone();

    /** Returns whether hosts have to report attempts, as the platform does not observe the balancers' connections. */
    boolean hostsTell();

    /** Returns the maximum delay in microseconds with which this platform observes an event. */
    long slackMicros();

    /** Partitions a zone from the others, or ends the partition. */
    void cut(int zone, boolean cut);

    /** Sets the share of datagrams between balancers that are lost. */
    void loseDatagrams(double share);
}
