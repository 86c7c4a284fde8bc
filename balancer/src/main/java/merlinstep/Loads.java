package merlinstep;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * What a balancer has out at each cache, as it follows the figures in a message: for each cache two bytes of its id's hash
 * and one of the count. Two caches with one hash both seem as loaded as the two together, which among a hundred is rare.
 */
final class Loads {
    static final byte[] NONE = {};
    /** Bytes of the longest message there may be; the price of messages is that of such a one for each request. */
    static final int FULL_MESSAGE = 256;
    /** What such a message has left beside the figures. */
    private static final int MOST = (FULL_MESSAGE - Figures.BYTES) / 3;

    private Loads() {}

    static int tag(long id) {
        return (int) (Hash.mix(id) & 0xffff);
    }

    /** The most loaded first, should there be too many for a message. */
    static byte[] of(List<Cache> caches) {
        List<Cache> busy = new ArrayList<>();
        for (Cache c : caches) {
            if (c.outstanding > 0 && !c.origin) {
                busy.add(c);
            }
        }
        busy.sort(Comparator.comparingInt(c -> -c.outstanding));
        ByteBuffer b = ByteBuffer.allocate(3 * Math.min(MOST, busy.size()));
        for (int i = 0; b.hasRemaining(); i++) {
            b.putShort((short) tag(busy.get(i).id)).put((byte) Math.min(255, busy.get(i).outstanding));
        }
        return b.array();
    }

    /** Adds what another balancer told to what is out at each cache elsewhere. */
    static void add(byte[] loads, Map<Integer, Cache> byTag) {
        ByteBuffer b = ByteBuffer.wrap(loads);
        while (b.remaining() >= 3) {
            Cache c = byTag.get(b.getShort() & 0xffff);
            int out = b.get() & 0xff;
            if (c != null) {
                c.elsewhere += out;
            }
        }
    }
}
