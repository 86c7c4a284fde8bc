package baymoor.scale.run;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;

/** Who is where on loopback: each balancer, and each host as a balancer reaches it, has an address in 127.0.0.0/8. */
final class Addresses {

    private static final int EACH = 250;
    private static final int BALANCERS = 1;
    private static final int RELAYS = 5;
    private static final int DISCOVERY = 9;
    private static final int DRAWN_HOSTS = 14;
    private static final int REAL_HOSTS = 16;
    private static final int HIGHEST_BASE = 65_000;
    private static final int TRIES = 50;

    private final int real;
    private final int own;
    private final int port;

    /** @param real balancers, for whom hosts listen */
    Addresses(int real) throws IOException {
        this.real = real;
        own = (int) (ProcessHandle.current().pid() % EACH) + 1;
        port = freePort();
    }

    /** The third figure of all addresses of this run. */
    int own() {
        return own;
    }

    private int freePort() throws IOException {
        for (int i = 0; i < TRIES; i++) {
            try (ServerSocket socket =
                    new ServerSocket(0, 1, address(BALANCERS, 0, 0).getAddress())) {
                if (socket.getLocalPort() < HIGHEST_BASE) {
                    return socket.getLocalPort();
                }
            }
        }
        throw new IOException("no free port on loopback");
    }

    private InetSocketAddress address(int network, int number, int at) {
        byte[] figures = {127, (byte) (network + number / EACH), (byte) own, (byte) (number % EACH + 1)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(figures), at);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four bytes are an address", e);
        }
    }

    /** Where a balancer takes clients. */
    InetSocketAddress clients(int balancer) {
        return address(BALANCERS, balancer, port);
    }

    /** Where a balancer hears the others. */
    InetSocketAddress peers(int balancer) {
        return address(BALANCERS, balancer, port + 1);
    }

    /** Where the relay stands for a balancer. */
    InetSocketAddress relay(int balancer) {
        return address(RELAYS, balancer, port + 1);
    }

    /** Where discovery listens for a balancer. */
    InetSocketAddress discovery(int balancer) {
        return address(DISCOVERY, balancer, port + 2);
    }

    /** Where a host is found by a balancer; nobody listens there for a hollow one. */
    InetSocketAddress host(int place, int balancer) {
        int network = balancer < real ? REAL_HOSTS + balancer : DRAWN_HOSTS;
        return address(network, place % EACH, port + place / EACH);
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
