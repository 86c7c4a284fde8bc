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
final class CacheLoads {
    static final byte[] NONE = {};
    /** Bytes of the longest message there may be; the price of messages is that of such a one for each request. */
    static final int MAX_BYTES = 256;
    /** What such a message has left beside the figures. */
    private static final int MAX_ENTRIES = (MAX_BYTES - PeerStatus.BYTES) / 3;

    private CacheLoads() {}

    static int tag(long id) {
        return (int) (Hash.mix(id) & 0xffff);
    }

    /** The most loaded first, should there be too many for a message. */
    static byte[] encode(List<Cache> caches) {
        List<Cache> busy = new ArrayList<>();
        for (Cache cache : caches) {
            if (cache.outstanding > 0 && !cache.origin) {
                busy.add(cache);
            }
        }
        busy.sort(Comparator.comparingInt(cache -> -cache.outstanding));
        ByteBuffer buffer = ByteBuffer.allocate(3 * Math.min(MAX_ENTRIES, busy.size()));
        for (int i = 0; buffer.hasRemaining(); i++) {
            buffer.putShort((short) tag(busy.get(i).id)).put((byte) Math.min(255, busy.get(i).outstanding));
        }
        return buffer.array();
    }

    /** Adds what another balancer told to what is out at each cache elsewhere. */
    static void add(byte[] loads, Map<Integer, Cache> cachesByTag) {
        ByteBuffer buffer = ByteBuffer.wrap(loads);
        while (buffer.remaining() >= 3) {
            Cache cache = cachesByTag.get(buffer.getShort() & 0xffff);
            int outstanding = buffer.get() & 0xff;
            if (cache != null) {
                cache.outstandingElsewhere += outstanding;
            }
        }
    }
}
