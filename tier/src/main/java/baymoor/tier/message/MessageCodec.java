package baymoor.tier.message;

import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Encodes group messages as datagrams of at most 256 bytes and decodes them. The first byte of a datagram is the version of
 * the format. Stateless; any thread may call it.
 */
public final class MessageCodec {

    /** The version of the format, the first byte of a datagram. The previous version is {@link PreviousVersion#VERSION}. */
    public static final byte VERSION = 2;
    /** The maximum size of a datagram in bytes. */
    public static final int MAX_DATAGRAM_BYTES = 256;
    /** The maximum number of times a message is forwarded to a newer representative. */
    public static final int MAX_HOPS = 3;

    private static final int FLAGS_OFFSET = 1;
    private static final int HOPS_SHIFT = 6;
    private static final int CLAIMS_LEASE_FLAG = 4;
    private static final int COMMITMENT_FLAG = 8;
    private static final int PREVIOUS_COMMITMENT_FLAG = 16;
    private static final int DIGEST_FLAG = 32;
    private static final double QUANTITY_LIMIT = 1e9;
    private static final int SHARE_SCALE = 0x7fffffff;

    private MessageCodec() {}

    static boolean isValidQuantity(double quantity) {
        return quantity >= 0 && quantity < QUANTITY_LIMIT;
    }

    /** Returns whether a datagram carries the version of this format. */
    public static boolean matches(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == VERSION;
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if the message exceeds {@link #MAX_DATAGRAM_BYTES}
     */
    public static byte[] encode(GroupMessage message) {
        byte[] datagram = serialize(message);
        if (datagram.length > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    "message of " + datagram.length + " bytes exceeds the maximum datagram size");
        }
        return datagram;
    }

    private static byte[] serialize(GroupMessage message) {
        ByteBuffer out = ByteBuffer.allocate(4 * MAX_DATAGRAM_BYTES);
        int flags = message.level().ordinal() | message.hops() << HOPS_SHIFT;
        flags |= message.claims() ? CLAIMS_LEASE_FLAG : 0;
        flags |= message.commitment() != null ? COMMITMENT_FLAG : 0;
        flags |= message.previous() != null ? PREVIOUS_COMMITMENT_FLAG : 0;
        flags |= message.digest() != null ? DIGEST_FLAG : 0;
        out.put(VERSION).put((byte) flags).putShort((short) message.group());
        out.put((byte) (message.child() | message.vote() << 4)).putShort((short) message.representative());
        out.putInt(message.epoch()).putInt(message.term());
        write(out, message.commitment());
        write(out, message.previous());
        write(out, message.totals());
        write(out, message.loads());
        write(out, message.digest());
        return Arrays.copyOf(out.array(), out.position());
    }

    /**
     * Encodes a message, omitting optional parts as needed to fit {@link #MAX_DATAGRAM_BYTES}: first the previous commitment,
     * then the loads.
     *
     * @throws IllegalArgumentException if the message is too long even without these parts
     */
    public static byte[] encodeFitting(GroupMessage message) {
        byte[] full = serialize(message);
        if (full.length <= MAX_DATAGRAM_BYTES) {
            return full;
        }
        GroupMessage withoutPrevious = message.withoutPreviousCommitment();
        byte[] shortened = serialize(withoutPrevious);
        return shortened.length <= MAX_DATAGRAM_BYTES ? shortened : encode(withoutPrevious.withoutLoads());
    }

    /** Returns a copy of an encoded message with the hop count incremented. */
    public static byte[] forwarded(byte[] datagram) {
        byte[] copy = datagram.clone();
        copy[FLAGS_OFFSET] += (byte) (1 << HOPS_SHIFT);
        return copy;
    }

    private static void write(ByteBuffer out, Commitment commitment) {
        if (commitment == null) {
            return;
        }
        out.putShort((short) commitment.acknowledged());
        out.put((byte) Arrays.stream(commitment.transfers()).filter(g -> g > 0).count());
        for (int child = 0; child < commitment.transfers().length; child++) {
            if (commitment.transfers()[child] > 0) {
                out.put((byte) child).putShort((short) commitment.transfers()[child]);
            }
        }
    }

    private static void write(ByteBuffer out, Totals totals) {
        out.putShort((short) totals.members()).putShort((short) totals.draw());
        out.putFloat((float) totals.weight()).putFloat((float) totals.rate());
        long[] counts = {
            totals.fetched(),
            totals.queued(),
            totals.credits(),
            totals.responses(),
            totals.totalLatencyMillis(),
            totals.failures()
        };
        for (long count : counts) {
            out.putShort((short) CompactCount.SHORT.encode(count));
        }
    }

    private static void write(ByteBuffer out, LoadReport loads) {
        out.putShort((short) loads.fingerprint()).putShort((short) loads.start());
        out.put((byte) loads.run().length).put((byte) loads.tags().length);
        out.put(loads.run());
        for (int i = 0; i < loads.tags().length; i++) {
            out.putShort((short) loads.tags()[i]).put(loads.codes()[i]);
        }
    }

    private static void write(ByteBuffer out, Digest digest) {
        if (digest == null) {
            return;
        }
        out.putInt((int) (digest.nextShare() * SHARE_SCALE)).putInt((int) (digest.followingShare() * SHARE_SCALE));
        out.putFloat((float) digest.rate());
        write(out, digest.outside());
        out.put((byte) digest.representatives().size());
        digest.representatives().forEach(speaker -> out.putShort(speaker.shortValue()));
        write(out, digest.loads());
    }

    /**
     * Decodes a message.
     *
     * @throws MalformedMessageException if the datagram has another version, is truncated or too long, or holds a value out of
     *     range
     */
    public static GroupMessage decode(byte[] datagram) throws MalformedMessageException {
        if (datagram.length > MAX_DATAGRAM_BYTES || !matches(datagram)) {
            throw new MalformedMessageException("unsupported version or datagram too long");
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
            GroupMessage message = readMessage(in);
            require(!in.hasRemaining(), "trailing bytes after the message");
            return message;
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("truncated message");
        }
    }

    private static void require(boolean condition, String problem) throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(problem);
        }
    }

    private static int unsignedShort(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static int unsignedByte(ByteBuffer in) {
        return in.get() & 0xff;
    }

    private static GroupMessage readMessage(ByteBuffer in) throws MalformedMessageException {
        int flags = unsignedByte(in);
        int group = unsignedShort(in);
        int childAndVote = unsignedByte(in);
        int speaker = unsignedShort(in);
        int epoch = in.getInt();
        int term = in.getInt();
        require(epoch >= 0 && term >= 0, "negative epoch or term");
        Commitment commitment = (flags & COMMITMENT_FLAG) != 0 ? readCommitment(in) : null;
        Commitment previous = (flags & PREVIOUS_COMMITMENT_FLAG) != 0 ? readCommitment(in) : null;
        Totals totals = readTotals(in);
        LoadReport loads = readLoads(in);
        Digest digest = (flags & DIGEST_FLAG) != 0 ? readDigest(in) : null;
        return new GroupMessage(
                Level.of(flags & Level.COUNT - 1),
                group,
                childAndVote & 0xf,
                speaker,
                flags >> HOPS_SHIFT,
                epoch,
                term,
                (flags & CLAIMS_LEASE_FLAG) != 0,
                childAndVote >> 4,
                commitment,
                previous,
                totals,
                loads,
                digest);
    }

    private static Commitment readCommitment(ByteBuffer in) throws MalformedMessageException {
        int acknowledged = unsignedShort(in);
        int[] gives = new int[Places.MAX_CHILDREN];
        int previousChild = -1;
        for (int count = unsignedByte(in); count > 0; count--) {
            int child = unsignedByte(in);
            require(child > previousChild && child < gives.length, "transfers out of order or to an unknown child");
            gives[child] = unsignedShort(in);
            previousChild = child;
        }
        return new Commitment(acknowledged, gives);
    }

    private static Totals readTotals(ByteBuffer in) throws MalformedMessageException {
        int members = unsignedShort(in);
        int draw = unsignedShort(in);
        float weight = in.getFloat();
        float rate = in.getFloat();
        require(isValidQuantity(weight) && isValidQuantity(rate), "weight or rate out of range");
        long[] counts = new long[6];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = CompactCount.SHORT.decode(unsignedShort(in));
        }
        return new Totals(
                members, counts[0], counts[1], weight, counts[2], draw, rate, counts[3], counts[4], counts[5]);
    }

    private static LoadReport readLoads(ByteBuffer in) {
        int fingerprint = unsignedShort(in);
        int start = unsignedShort(in);
        byte[] run = new byte[unsignedByte(in)];
        int[] tags = new int[unsignedByte(in)];
        byte[] codes = new byte[tags.length];
        in.get(run);
        for (int i = 0; i < tags.length; i++) {
            tags[i] = unsignedShort(in);
            codes[i] = in.get();
        }
        return new LoadReport(fingerprint, start, run, tags, codes);
    }

    private static double readShare(ByteBuffer in) throws MalformedMessageException {
        int scaled = in.getInt();
        require(scaled >= 0, "negative share");
        return (double) scaled / SHARE_SCALE;
    }

    private static Digest readDigest(ByteBuffer in) throws MalformedMessageException {
        double nextShare = readShare(in);
        double laterShare = readShare(in);
        float rate = in.getFloat();
        require(isValidQuantity(rate), "rate out of range");
        Totals outside = readTotals(in);
        int count = unsignedByte(in);
        require(count <= Places.MAX_CHILDREN, "too many speakers");
        List<Integer> speakers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            speakers.add(unsignedShort(in));
        }
        return new Digest(nextShare, laterShare, rate, outside, speakers, readLoads(in));
    }
}
