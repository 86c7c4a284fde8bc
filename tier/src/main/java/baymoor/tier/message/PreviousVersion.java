package baymoor.tier.message;

import java.nio.ByteBuffer;

/**
 * Decodes messages of the previous version, in which each balancer sends its own totals to all others. Stateless; any thread
 * may call it.
 */
public final class PreviousVersion {

    /** The version of the format, the first byte of a datagram. */
    public static final byte VERSION = 1;
    /** The size in bytes of a message without loads, the minimum. */
    static final int MIN_BYTES = 45;

    /**
     * The decoded content of a message. Messages of this version do not belong to an epoch.
     *
     * @param incarnation the incarnation of the sender
     * @param sequence the sequence number within the incarnation
     * @param totals the totals of the sender
     */
    public record Figures(int incarnation, int sequence, Totals totals) {}

    private PreviousVersion() {}

    /** Returns whether a datagram carries the version of this format. */
    public static boolean matches(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == VERSION;
    }

    /**
     * Decodes a message. The responses, latency and failures of the totals are 0, since this version counts them from the start
     * of the sender instead of per epoch.
     *
     * @throws MalformedMessageException if the datagram is too short or too long, or holds a value out of range
     */
    public static Figures decode(byte[] datagram) throws MalformedMessageException {
        if (datagram.length < MIN_BYTES || datagram.length > MessageCodec.MAX_DATAGRAM_BYTES) {
            throw new MalformedMessageException("invalid datagram length");
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int incarnation = in.getShort() & 0xffff;
        int sequence = in.getInt();
        in.getShort(); // period number
        in.getShort(); // position in the period
        int fetched = in.getShort() & 0xffff;
        int queued = in.getShort() & 0xffff;
        int credits = in.getShort() & 0xffff;
        int draw = in.getShort() & 0xffff;
        in.getShort(); // fetches in flight
        float weight = in.getFloat();
        float rate = in.getFloat();
        if (!MessageCodec.isValidQuantity(weight) || !MessageCodec.isValidQuantity(rate)) {
            throw new MalformedMessageException("weight or rate out of range");
        }
        return new Figures(incarnation, sequence, new Totals(1, fetched, queued, weight, credits, draw, rate, 0, 0, 0));
    }
}
