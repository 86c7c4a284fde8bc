package baymoor.tier.message;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.Assert;

class MessageCodecTest {

    private static final String SEED = "4714";

    private static Commitment randomCommitment(Random random, int transfers) {
        int[] gives = new int[Places.MAX_CHILDREN];
        for (int i = 0; i < transfers; i++) {
            gives[random.nextInt(gives.length)] = 1 + random.nextInt(0xffff);
        }
        return new Commitment(random.nextInt(1 << 16), gives);
    }

    private static Totals randomTotals(Random random) {
        return new Totals(
                random.nextInt(700),
                random.nextInt(2_000),
                random.nextInt(2_000),
                random.nextInt(1_000) / 8.0,
                random.nextInt(2_000),
                random.nextInt(1 << 16),
                random.nextInt(1_000) / 4.0,
                random.nextInt(2_000),
                random.nextInt(2_000),
                random.nextInt(2_000));
    }

    private static LoadReport randomLoads(Random random, int runLength, int tagCount) {
        byte[] run = new byte[runLength];
        random.nextBytes(run);
        byte[] codes = new byte[tagCount];
        random.nextBytes(codes);
        int[] tags = random.ints(tagCount, 0, 1 << 16).toArray();
        return new LoadReport(random.nextInt(1 << 16), random.nextInt(400), run, tags, codes);
    }

    static GroupMessage randomMessage(Random random) {
        List<Integer> speakers = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            speakers.add(random.nextInt(640));
        }
        Digest digest = new Digest(0.25, 0.5, 1.5, randomTotals(random), speakers, randomLoads(random, 10, 2));
        return new GroupMessage(
                Level.of(random.nextInt(Level.COUNT)),
                random.nextInt(50),
                random.nextInt(16),
                random.nextInt(640),
                random.nextInt(4),
                random.nextInt(Integer.MAX_VALUE),
                random.nextInt(Integer.MAX_VALUE),
                random.nextBoolean(),
                random.nextInt(16),
                random.nextBoolean() ? randomCommitment(random, 3) : null,
                random.nextBoolean() ? randomCommitment(random, 2) : null,
                randomTotals(random),
                randomLoads(random, 20, 4),
                random.nextBoolean() ? digest : null);
    }

    @Property(seed = SEED, tries = 500)
    void decodingRestoresEncodedMessage(@ForAll long seed) throws Exception {
        GroupMessage message = randomMessage(new Random(seed));
        byte[] datagram = MessageCodec.encode(message);
        assertTrue(datagram.length <= MessageCodec.MAX_DATAGRAM_BYTES);
        GroupMessage decoded = MessageCodec.decode(datagram);
        if (message.digest() == null) {
            assertEquals(message, decoded);
        } else {
            assertEquals(0.25, decoded.digest().nextShare(), 1e-9);
            assertTrue(decoded.digest().nextShare() <= 0.25);
            assertEquals(message.digest().outside(), decoded.digest().outside());
            assertEquals(message.digest().representatives(), decoded.digest().representatives());
            assertEquals(message.digest().loads(), decoded.digest().loads());
            assertEquals(message.totals(), decoded.totals());
            assertEquals(message.commitment(), decoded.commitment());
        }
    }

    @Property(seed = SEED, tries = 300)
    void rejectsTruncatedAndOversizedDatagrams(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] datagram = MessageCodec.encode(randomMessage(random));
        byte[] truncated = Arrays.copyOf(datagram, random.nextInt(datagram.length));
        Assert.assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(truncated));
        byte[] oversized = Arrays.copyOf(datagram, datagram.length + 1 + random.nextInt(300));
        Assert.assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(oversized));
    }

    /** Guards against any other exception from corrupt input, and against decoded messages that cannot be encoded again. */
    @Property(seed = SEED, tries = 3000)
    void corruptDatagramsDecodeOrThrowMalformedMessage(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] datagram = MessageCodec.encode(randomMessage(random));
        if (random.nextInt(4) == 0) {
            random.nextBytes(datagram);
            datagram[0] = MessageCodec.VERSION;
        } else {
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                datagram[1 + random.nextInt(datagram.length - 1)] ^= (byte) (1 << random.nextInt(8));
            }
        }
        try {
            GroupMessage decoded = MessageCodec.decode(datagram);
            assertTrue(decoded.totals().weight() >= 0 && decoded.totals().rate() < 1e9);
            assertEquals(datagram.length, MessageCodec.encode(decoded).length, 0);
        } catch (MalformedMessageException expected) {
            assertTrue(expected.getMessage(), expected.getMessage().length() > 0);
        }
    }

    @Property(seed = SEED, tries = 500)
    void compactCountsAreExactWhenSmallAndWithinErrorBoundWhenLarge(
            @ForAll @IntRange(min = 0, max = 400_000) int count) {
        long fromShort = CompactCount.SHORT.decode(CompactCount.SHORT.encode(count));
        assertTrue(count < 2048 ? fromShort == count : fromShort <= count && fromShort >= count - count / 1024.0);
        long fromByte = CompactCount.BYTE.decode(CompactCount.BYTE.encode(Math.min(count, 250_000)));
        int byteCount = Math.min(count, 250_000);
        assertTrue(count < 32 ? fromByte == count : fromByte <= byteCount && fromByte >= byteCount - byteCount / 16.0);
    }

    @Example
    void compactCountsIncreaseWithCode() {
        for (CompactCount encoding : CompactCount.values()) {
            long previousCount = -1;
            for (int code = 0; code <= encoding.encode(Long.MAX_VALUE); code++) {
                long count = encoding.decode(code);
                assertTrue(encoding + " " + code, count > previousCount || code > 50_000);
                previousCount = count;
            }
            assertEquals(0, encoding.decode(encoding.encode(-5)));
        }
    }

    @Example
    void largestMessageFitsIntoDatagram() throws Exception {
        Random random = new Random(1);
        int[] maxTransfers = new int[Places.MAX_CHILDREN];
        Arrays.fill(maxTransfers, 0xffff);
        Commitment full = new Commitment(0xffff, maxTransfers);
        List<Integer> speakers = new ArrayList<>(java.util.Collections.nCopies(Places.MAX_CHILDREN, 639));
        Digest digest = new Digest(1, 1, 1, randomTotals(random), speakers, randomLoads(random, 30, 4));
        GroupMessage message = new GroupMessage(
                Level.REGION,
                1,
                1,
                1,
                0,
                9,
                9,
                true,
                1,
                full,
                full,
                randomTotals(random),
                randomLoads(random, 30, 6),
                digest);
        byte[] datagram = MessageCodec.encodeFitting(message);
        assertTrue("" + datagram.length, datagram.length <= MessageCodec.MAX_DATAGRAM_BYTES);
        assertEquals(full, MessageCodec.decode(datagram).commitment());
    }
}
