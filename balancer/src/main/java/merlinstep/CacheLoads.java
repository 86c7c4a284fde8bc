package merlinstep;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Codec of a balancer's outstanding attempts per cache, which follow its {@link PeerStatus} in a message: two bytes of
 * a hash of the cache's id and one of the count. Caches with the same hash each count the load of both, which is rare.
 */
final class CacheLoads {
    static final byte[] NONE = {};
    /** Largest message in bytes, by which the price of messages is defined. */
    static final int MAX_BYTES = 256;
    /** Entries that fit in a message beside the state. */
    private static final int MAX_ENTRIES = (MAX_BYTES - PeerStatus.BYTES) / 3;

    private CacheLoads() {}

    /** Returns the hash that stands for a cache. */
    static int tag(long id) {
        return (int) (Hash.mix(id) & 0xffff);
    }

    /** Encodes the loaded caches, the most loaded ones if they don't all fit. */
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

    /** Adds another balancer's loads to {@link Cache#outstandingElsewhere}. */
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
