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

    private static Commitment commitment(Random random, int gifts) {
        int[] gives = new int[Places.LARGEST_GROUP];
        for (int i = 0; i < gifts; i++) {
            gives[random.nextInt(gives.length)] = 1 + random.nextInt(0xffff);
        }
        return new Commitment(random.nextInt(1 << 16), gives);
    }

    private static Totals totals(Random random) {
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

    private static LoadReport loads(Random random, int run, int apart) {
        byte[] codes = new byte[run];
        random.nextBytes(codes);
        byte[] tagged = new byte[apart];
        random.nextBytes(tagged);
        int[] tags = random.ints(apart, 0, 1 << 16).toArray();
        return new LoadReport(random.nextInt(1 << 16), random.nextInt(400), codes, tags, tagged);
    }

    static GroupMessage message(Random random) {
        List<Integer> speakers = new ArrayList<>();
        for (int i = random.nextInt(6); i > 0; i--) {
            speakers.add(random.nextInt(640));
        }
        Digest digest = new Digest(0.25, 0.5, 1.5, totals(random), speakers, loads(random, 10, 2));
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
                random.nextBoolean() ? commitment(random, 3) : null,
                random.nextBoolean() ? commitment(random, 2) : null,
                totals(random),
                loads(random, 20, 4),
                random.nextBoolean() ? digest : null);
    }

    @Property(seed = SEED, tries = 500)
    void whatIsWrittenIsRead(@ForAll long seed) throws Exception {
        GroupMessage message = message(new Random(seed));
        byte[] datagram = MessageCodec.encode(message);
        assertTrue(datagram.length <= MessageCodec.LONGEST);
        GroupMessage read = MessageCodec.decode(datagram);
        if (message.digest() == null) {
            assertEquals(message, read);
        } else {
            assertEquals(0.25, read.digest().nextPart(), 1e-9);
            assertTrue(read.digest().nextPart() <= 0.25);
            assertEquals(message.digest().outside(), read.digest().outside());
            assertEquals(message.digest().speakers(), read.digest().speakers());
            assertEquals(message.digest().loads(), read.digest().loads());
            assertEquals(message.totals(), read.totals());
            assertEquals(message.commitment(), read.commitment());
        }
    }

    @Property(seed = SEED, tries = 300)
    void aMessageThatIsCutOffOrTooLongIsRefused(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] datagram = MessageCodec.encode(message(random));
        byte[] cut = Arrays.copyOf(datagram, random.nextInt(datagram.length));
        Assert.assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(cut));
        byte[] longer = Arrays.copyOf(datagram, datagram.length + 1 + random.nextInt(300));
        Assert.assertThrows(MalformedMessageException.class, () -> MessageCodec.decode(longer));
    }

    /** Nothing but the codec's own exception may come of any bytes, and what is read may be written again. */
    @Property(seed = SEED, tries = 3000)
    void anyBytesAreReadOrRefused(@ForAll long seed) {
        Random random = new Random(seed);
        byte[] datagram = MessageCodec.encode(message(random));
        if (random.nextInt(4) == 0) {
            random.nextBytes(datagram);
            datagram[0] = MessageCodec.VERSION;
        } else {
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                datagram[1 + random.nextInt(datagram.length - 1)] ^= (byte) (1 << random.nextInt(8));
            }
        }
        try {
            GroupMessage read = MessageCodec.decode(datagram);
            assertTrue(read.totals().weight() >= 0 && read.totals().rate() < 1e9);
            assertEquals(datagram.length, MessageCodec.encode(read).length, 0);
        } catch (MalformedMessageException expected) {
            assertTrue(expected.getMessage(), expected.getMessage().length() > 0);
        }
    }

    @Property(seed = SEED, tries = 500)
    void countsAreExactWhileSmallAndCloseWhereLarge(@ForAll @IntRange(min = 0, max = 400_000) int count) {
        long byShort = CompactCount.SHORT.decode(CompactCount.SHORT.encode(count));
        assertTrue(count < 2048 ? byShort == count : byShort <= count && byShort >= count - count / 1024.0);
        long byByte = CompactCount.BYTE.decode(CompactCount.BYTE.encode(Math.min(count, 250_000)));
        int bound = Math.min(count, 250_000);
        assertTrue(count < 32 ? byByte == count : byByte <= bound && byByte >= bound - bound / 16.0);
    }

    @Example
    void countsGrowWithTheirCodes() {
        for (CompactCount kind : CompactCount.values()) {
            long last = -1;
            for (int code = 0; code <= kind.encode(Long.MAX_VALUE); code++) {
                long count = kind.decode(code);
                assertTrue(kind + " " + code, count > last || code > 50_000);
                last = count;
            }
            assertEquals(0, kind.decode(kind.encode(-5)));
        }
    }

    @Example
    void theLongestMessageThatARuleCanMakeFits() throws Exception {
        Random random = new Random(1);
        int[] all = new int[Places.LARGEST_GROUP];
        Arrays.fill(all, 0xffff);
        Commitment full = new Commitment(0xffff, all);
        List<Integer> speakers = new ArrayList<>(java.util.Collections.nCopies(Places.LARGEST_GROUP, 639));
        Digest digest = new Digest(1, 1, 1, totals(random), speakers, loads(random, 30, 4));
        GroupMessage message = new GroupMessage(
                Level.REGION, 1, 1, 1, 0, 9, 9, true, 1, full, full, totals(random), loads(random, 30, 6), digest);
        byte[] datagram = MessageCodec.encodeFitting(message);
        assertTrue("" + datagram.length, datagram.length <= MessageCodec.LONGEST);
        assertEquals(full, MessageCodec.decode(datagram).commitment());
    }
}
