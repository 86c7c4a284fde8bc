package baymoor.tier.message;

import java.nio.ByteBuffer;

/** Messages of the version before, in which each balancer tells its own figures to all others. */
public final class PreviousVersion {

    /** The first byte of such a message. */
    public static final byte VERSION = 1;
    /** Bytes of the figures, with incarnation and sequence number before them; loads may follow. */
    static final int MIN_BYTES = 45;

    /** One figure of a balancer without a message for an epoch. */
    public record Figures(int incarnation, int sequence, Totals totals) {}

    private PreviousVersion() {}

    /** Whether a datagram says that it is of this version. */
    public static boolean matches(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == VERSION;
    }

    /**
     * Reads the figures. Counts of answers run from the sender's start there and are left out here.
     *
     * @throws MalformedMessageException where it is too short or holds impossible figures
     */
    public static Figures decode(byte[] datagram) throws MalformedMessageException {
        if (datagram.length < MIN_BYTES || datagram.length > MessageCodec.MAX_DATAGRAM_BYTES) {
            throw new MalformedMessageException("length");
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
        int incarnation = in.getShort() & 0xffff;
        int sequence = in.getInt();
        in.getShort(); // number of the period
        in.getShort(); // position in it
        int fetched = in.getShort() & 0xffff;
        int queued = in.getShort() & 0xffff;
        int credits = in.getShort() & 0xffff;
        int draw = in.getShort() & 0xffff;
        in.getShort(); // fetches that are out
        float weight = in.getFloat();
        float rate = in.getFloat();
        if (!MessageCodec.isValidQuantity(weight) || !MessageCodec.isValidQuantity(rate)) {
            throw new MalformedMessageException("figures");
        }
        return new Figures(incarnation, sequence, new Totals(1, fetched, queued, weight, credits, draw, rate, 0, 0, 0));
    }
}
