package baymoor.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses of the form {@code host:port}. */
public final class Address {

    private static final int MAX_PORT = 65535;
    private static final String NUMERIC_HOST = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+\\]";

    private Address() {}

    /**
     * Parses a numeric IP address with a port; an IPv6 address stands in brackets.
     *
     * @return the address, or null if the text is malformed or holds a host name: names are never resolved
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches(NUMERIC_HOST)) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            boolean validPort = port > 0 && port <= MAX_PORT;
            return validPort ? new InetSocketAddress(InetAddress.getByName(host), port) : null;
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
