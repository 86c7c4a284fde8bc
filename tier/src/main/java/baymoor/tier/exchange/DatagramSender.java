package baymoor.tier.exchange;

/** Sends datagrams to other balancers without delivery guarantees. */
@FunctionalInterface
public interface DatagramSender {

    /** Sends a datagram to the balancer with the given number; a failure to send is treated as loss. */
    void send(int balancer, byte[] datagram);
}
