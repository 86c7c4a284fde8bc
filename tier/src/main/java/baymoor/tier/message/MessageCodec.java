package baymoor.tier.message;

import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Group messages as datagrams of 256 bytes at most. The first byte is the version; others are no group messages. */
public final class MessageCodec {

    /** The first byte of a group message; the version before has 1 ({@link PreviousVersion}). */
    public static final byte VERSION = 2;
    /** The longest datagram. */
    public static final int LONGEST = 256;
    /** The most passes from a balancer to a newer speaker. */
    public static final int MOST_HOPS = 3;

    private static final int FLAGS_AT = 1;
    private static final int HOPS_SHIFT = 6;
    private static final int CLAIMS = 4;
    private static final int COMMITTED = 8;
    private static final int REPEATED = 16;
    private static final int DIGEST = 32;
    private static final double MOST_FIGURE = 1e9;
    private static final int PART_SCALE = 0x7fffffff;

    private MessageCodec() {}

    static boolean possible(double figure) {
        return figure >= 0 && figure < MOST_FIGURE;
    }

    /** Whether a datagram says that it is a group message. */
    public static boolean matches(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == VERSION;
    }

    /** The datagram of a message. */
    public static byte[] encode(GroupMessage message) {
        byte[] datagram = bytes(message);
        if (datagram.length > LONGEST) {
            throw new IllegalArgumentException("a message of " + datagram.length + " bytes");
        }
        return datagram;
    }

    private static byte[] bytes(GroupMessage message) {
        ByteBuffer out = ByteBuffer.allocate(4 * LONGEST);
        int flags = message.level().ordinal() | message.hops() << HOPS_SHIFT;
        flags |= message.claims() ? CLAIMS : 0;
        flags |= message.commitment() != null ? COMMITTED : 0;
        flags |= message.previous() != null ? REPEATED : 0;
        flags |= message.digest() != null ? DIGEST : 0;
        out.put(VERSION).put((byte) flags).putShort((short) message.group());
        out.put((byte) (message.child() | message.vote() << 4)).putShort((short) message.speaker());
        out.putInt(message.epoch()).putInt(message.term());
        put(out, message.commitment());
        put(out, message.previous());
        put(out, message.totals());
        put(out, message.loads());
        put(out, message.digest());
        return Arrays.copyOf(out.array(), out.position());
    }

    /** The datagram of a message, without what can be missed in it where it would be too long. */
    public static byte[] encodeFitting(GroupMessage message) {
        byte[] whole = bytes(message);
        if (whole.length <= LONGEST) {
            return whole;
        }
        GroupMessage shorter = message.withoutRepetition();
        byte[] once = bytes(shorter);
        return once.length <= LONGEST ? once : encode(shorter.withoutLoads());
    }

    /** The same datagram, passed on once more. */
    public static byte[] passedOn(byte[] datagram) {
        byte[] copy = datagram.clone();
        copy[FLAGS_AT] += (byte) (1 << HOPS_SHIFT);
        return copy;
    }

    private static void put(ByteBuffer out, Commitment commitment) {
        if (commitment == null) {
            return;
        }
        out.putShort((short) commitment.acknowledged());
        out.put((byte) Arrays.stream(commitment.gives()).filter(g -> g > 0).count());
        for (int child = 0; child < commitment.gives().length; child++) {
            if (commitment.gives()[child] > 0) {
                out.put((byte) child).putShort((short) commitment.gives()[child]);
            }
        }
    }

    private static void put(ByteBuffer out, Totals totals) {
        out.putShort((short) totals.members()).putShort((short) totals.draw());
        out.putFloat((float) totals.weight()).putFloat((float) totals.rate());
        long[] counts = {
            totals.fetched(),
            totals.queued(),
            totals.credits(),
            totals.answers(),
            totals.latencyMillis(),
            totals.failures()
        };
        for (long count : counts) {
            out.putShort((short) CompactCount.SHORT.encode(count));
        }
    }

    private static void put(ByteBuffer out, LoadReport loads) {
        out.putShort((short) loads.fingerprint()).putShort((short) loads.start());
        out.put((byte) loads.run().length).put((byte) loads.tags().length);
        out.put(loads.run());
        for (int i = 0; i < loads.tags().length; i++) {
            out.putShort((short) loads.tags()[i]).put(loads.codes()[i]);
        }
    }

    private static void put(ByteBuffer out, Digest digest) {
        if (digest == null) {
            return;
        }
        out.putInt((int) (digest.nextPart() * PART_SCALE)).putInt((int) (digest.laterPart() * PART_SCALE));
        out.putFloat((float) digest.rate());
        put(out, digest.outside());
        out.put((byte) digest.speakers().size());
        digest.speakers().forEach(speaker -> out.putShort(speaker.shortValue()));
        put(out, digest.loads());
    }

    /**
     * The message of a datagram.
     *
     * @throws MalformedMessageException where it is of another version, cut off, too long, or holds impossible figures
     */
    public static GroupMessage decode(byte[] datagram) throws MalformedMessageException {
        if (datagram.length > LONGEST || !matches(datagram)) {
            throw new MalformedMessageException("version or length");
        }
        try {
            ByteBuffer in = ByteBuffer.wrap(datagram, 1, datagram.length - 1);
            GroupMessage message = message(in);
            require(!in.hasRemaining(), "bytes after the end");
            return message;
        } catch (BufferUnderflowException e) {
            throw new MalformedMessageException("cut off");
        }
    }

    private static void require(boolean condition, String what) throws MalformedMessageException {
        if (!condition) {
            throw new MalformedMessageException(what);
        }
    }

    private static int unsignedShort(ByteBuffer in) {
        return in.getShort() & 0xffff;
    }

    private static int unsignedByte(ByteBuffer in) {
        return in.get() & 0xff;
    }

    private static GroupMessage message(ByteBuffer in) throws MalformedMessageException {
        int flags = unsignedByte(in);
        int group = unsignedShort(in);
        int children = unsignedByte(in);
        int speaker = unsignedShort(in);
        int epoch = in.getInt();
        int term = in.getInt();
        require(epoch >= 0 && term >= 0, "epoch or term");
        Commitment commitment = (flags & COMMITTED) != 0 ? commitment(in) : null;
        Commitment previous = (flags & REPEATED) != 0 ? commitment(in) : null;
        Totals totals = totals(in);
        LoadReport loads = loads(in);
        Digest digest = (flags & DIGEST) != 0 ? digest(in) : null;
        return new GroupMessage(
                Level.of(flags & Level.COUNT - 1),
                group,
                children & 0xf,
                speaker,
                flags >> HOPS_SHIFT,
                epoch,
                term,
                (flags & CLAIMS) != 0,
                children >> 4,
                commitment,
                previous,
                totals,
                loads,
                digest);
    }

    private static Commitment commitment(ByteBuffer in) throws MalformedMessageException {
        int acknowledged = unsignedShort(in);
        int[] gives = new int[Places.LARGEST_GROUP];
        int last = -1;
        for (int count = unsignedByte(in); count > 0; count--) {
            int child = unsignedByte(in);
            require(child > last && child < gives.length, "order of what is given");
            gives[child] = unsignedShort(in);
            last = child;
        }
        return new Commitment(acknowledged, gives);
    }

    private static Totals totals(ByteBuffer in) throws MalformedMessageException {
        int members = unsignedShort(in);
        int draw = unsignedShort(in);
        float weight = in.getFloat();
        float rate = in.getFloat();
        require(possible(weight) && possible(rate), "weight or rate");
        long[] counts = new long[6];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = CompactCount.SHORT.decode(unsignedShort(in));
        }
        return new Totals(
                members, counts[0], counts[1], weight, counts[2], draw, rate, counts[3], counts[4], counts[5]);
    }

    private static LoadReport loads(ByteBuffer in) {
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

    private static double part(ByteBuffer in) throws MalformedMessageException {
        int scaled = in.getInt();
        require(scaled >= 0, "part");
        return (double) scaled / PART_SCALE;
    }

    private static Digest digest(ByteBuffer in) throws MalformedMessageException {
        double next = part(in);
        double later = part(in);
        float rate = in.getFloat();
        require(possible(rate), "rate");
        Totals outside = totals(in);
        int count = unsignedByte(in);
        require(count <= Places.LARGEST_GROUP, "speakers");
        List<Integer> speakers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            speakers.add(unsignedShort(in));
        }
        return new Digest(next, later, rate, outside, speakers, loads(in));
    }
}
