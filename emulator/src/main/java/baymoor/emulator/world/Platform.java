package baymoor.emulator.world;

import baymoor.link.Dialer;
import baymoor.link.Time;
import java.net.InetSocketAddress;

/**
 * What carries a world: virtual time, or sockets on loopback. A place is a number for an address, at which one host
 * after another may listen.
 */
public interface Platform extends DiscoveryService.Reach {

    /** The clock and timers of a host. */
    Time time(String host, int zone);

    /** Lets a host listen at a place. */
    void listen(int place, String host, int zone, Acceptor acceptor);

    /** Lets a host listen at a place that only one balancer knows of, on its own machine. */
    void listenBeside(int balancer, int place, String host, int zone, Acceptor acceptor);

    /** Nobody listens at a place any more; {@code silently}: the machine is gone without a word. */
    void stopListening(int place, boolean silently);

    /** Opens connections as the clients of a zone do. */
    Dialer clients(int zone);

    /** Where a balancer listens to clients. */
    InetSocketAddress balancer(int number);

    /** Where a balancer listens to the others, as one of them knows it. */
    InetSocketAddress peer(int number, int seenBy);

    /** The address that reaches all balancers, or null where each has to be told by itself. */
    InetSocketAddress everyone();

    /** Whether hosts have to tell the judge what comes to them, since nothing watches the balancers' connections. */
    boolean hostsTell();

    /** How much later than it happened this platform may see something. */
    long slackMicros();

    /** Cuts a zone off from the others, or joins it again. */
    void cut(int zone, boolean cut);

    /** Loses so large a share of the datagrams between balancers. */
    void loseDatagrams(double share);
}
