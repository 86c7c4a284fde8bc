package baymoor.emulator.virtual;

import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.judge.Judge;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Parses the bytes that a balancer sends to hosts and reports each attempt to the judge, independently of the balancer's
 * own counters.
 */
final class AttemptObserver implements VirtualNet.ConnectionObserver {

    private static final String ID_HEADER = "X-Correlation-Id: ";
    private static final int ID_ARGUMENT = 2;

    private final Judge judge;
    private final Function<InetSocketAddress, String> hostAtAddress;
    private final ToIntFunction<VirtualProcess> balancerNumber;

    /**
     * @param hostAtAddress returns the name of the host at an address, or null if no host there takes requests
     * @param balancerNumber returns the index of a balancer's process
     */
    AttemptObserver(
            Judge judge,
            Function<InetSocketAddress, String> hostAtAddress,
            ToIntFunction<VirtualProcess> balancerNumber) {
        this.judge = judge;
        this.hostAtAddress = hostAtAddress;
        this.balancerNumber = balancerNumber;
    }

    @Override
    public void sent(VirtualProcess balancer, long connection, InetSocketAddress to, byte[] bytes) {
        String host = hostAtAddress.apply(to);
        String id = host == null ? null : requestId(bytes);
        if (id != null) {
            judge.attemptSent(id, balancerNumber.applyAsInt(balancer), host, connection);
        }
    }

    @Override
    public void received(long connection) {
        judge.answerIn(connection);
    }

    @Override
    public void closed(long connection) {
        judge.attemptClosed(connection);
    }

    /** Returns the id of the request in these bytes, or null if they hold none, as a probe does. */
    static String requestId(byte[] bytes) {
        if (bytes[0] != '*') {
            // HTTP: only the head is searched, as the body may contain the header's name.
            int end = Math.min(bytes.length, 2048);
            String head = new String(bytes, 0, end, StandardCharsets.ISO_8859_1);
            int body = head.indexOf("\r\n\r\n");
            int position = head.indexOf(ID_HEADER);
            return position < 0 || body >= 0 && position > body
                    ? null
                    : head.substring(position + ID_HEADER.length(), head.indexOf('\r', position));
        }
        int position = 1;
        int arguments = 0;
        while (bytes[position] != '\r') {
            arguments = arguments * 10 + bytes[position++] - '0';
        }
        position += 2;
        for (int argument = 0; argument < arguments && argument <= ID_ARGUMENT; argument++) {
            int length = 0;
            position++;
            while (bytes[position] != '\r') {
                length = length * 10 + bytes[position++] - '0';
            }
            position += 2;
            if (argument == ID_ARGUMENT) {
                return arguments <= ID_ARGUMENT + 1
                        ? null
                        : new String(bytes, position, length, StandardCharsets.US_ASCII);
            }
            position += length + 2;
        }
        return null;
    }
}
