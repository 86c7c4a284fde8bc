package baymoor.emulator.virtual;

import baymoor.emulator.engine.Site;
import baymoor.emulator.judge.Judge;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * Reads on a balancer's own connections which request leaves for which host, from the bytes alone: so the judge hears
 * what crossed the wire, whatever the balancer believes of it.
 */
final class AttemptTap implements VirtualNet.Tap {

    private static final String ID_HEADER = "X-Correlation-Id: ";
    private static final int ID_WORD = 2;

    private final Judge judge;
    private final Function<InetSocketAddress, String> hostAt;
    private final ToIntFunction<Site> number;

    /** @param hostAt name of the host at an address, or null where it is none that takes requests */
    AttemptTap(Judge judge, Function<InetSocketAddress, String> hostAt, ToIntFunction<Site> number) {
        this.judge = judge;
        this.hostAt = hostAt;
        this.number = number;
    }

    @Override
    public void sent(Site balancer, long connection, InetSocketAddress to, byte[] bytes) {
        String host = hostAt.apply(to);
        String id = host == null ? null : id(bytes);
        if (id != null) {
            judge.attemptSent(id, number.applyAsInt(balancer), host, connection);
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

    /** The id of the request that these bytes carry, or null if they carry none, as a probe's do. */
    static String id(byte[] bytes) {
        if (bytes[0] != '*') {
            // Only the head is read: a value may hold anything.
            int end = Math.min(bytes.length, 2048);
            String head = new String(bytes, 0, end, StandardCharsets.ISO_8859_1);
            int body = head.indexOf("\r\n\r\n");
            int at = head.indexOf(ID_HEADER);
            return at < 0 || body >= 0 && at > body
                    ? null
                    : head.substring(at + ID_HEADER.length(), head.indexOf('\r', at));
        }
        int at = 1;
        int words = 0;
        while (bytes[at] != '\r') {
            words = words * 10 + bytes[at++] - '0';
        }
        at += 2;
        for (int word = 0; word < words && word <= ID_WORD; word++) {
            int length = 0;
            at++;
            while (bytes[at] != '\r') {
                length = length * 10 + bytes[at++] - '0';
            }
            at += 2;
            if (word == ID_WORD) {
                return words <= ID_WORD + 1 ? null : new String(bytes, at, length, StandardCharsets.US_ASCII);
            }
            at += length + 2;
        }
        return null;
    }
}
