package baymoor.tier.exchange;

/** Takes datagrams to other balancers; what can't be sent is lost like any datagram. */
@FunctionalInterface
public interface DatagramSender {

    /** Sends to a balancer by its number. */
    void send(int balancer, byte[] datagram);
}
