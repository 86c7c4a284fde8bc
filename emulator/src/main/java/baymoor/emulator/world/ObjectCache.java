package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A cache with a byte capacity, least-recently-used eviction and a time to live. It keeps exact LRU order, as a library
 * cache that approximates it would make runs of the same seed differ. Holds sizes only, no values. Not thread-safe.
 */
final class ObjectCache {

    private record CachedObject(long bytes, long expiresAt) {}

    private final long capacityBytes;
    private final long ttlMicros;
    private final LinkedHashMap<String, CachedObject> objects = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /**
     * @param capacityBytes total size of the objects
     * @param ttlMicros     time to live, 0 for none
     */
    ObjectCache(long capacityBytes, long ttlMicros) {
        this.capacityBytes = capacityBytes;
        this.ttlMicros = ttlMicros;
    }

    /** Returns whether a key is cached and has not expired, and marks it as used. */
    boolean hit(String key, long now) {
        CachedObject cached = objects.get(key);
        if (cached != null && cached.expiresAt < now) {
            remove(key);
            return false;
        }
        return cached != null;
    }

    /** Caches an object, evicting others as needed; ignores an object larger than the cache. */
    void put(String key, long size, long now) {
        if (size > capacityBytes) {
            return;
        }
        CachedObject previous =
                objects.put(key, new CachedObject(size, ttlMicros == 0 ? Long.MAX_VALUE : now + ttlMicros));
        bytes += size - (previous == null ? 0 : previous.bytes);
        Iterator<Map.Entry<String, CachedObject>> oldest = objects.entrySet().iterator();
        while (bytes > capacityBytes) {
            bytes -= oldest.next().getValue().bytes;
            oldest.remove();
        }
    }

    void remove(String key) {
        CachedObject cached = objects.remove(key);
        bytes -= cached == null ? 0 : cached.bytes;
    }

    /** Removes each object with the probability {@code share}. */
    void removeRandom(double share, UniformRandomProvider random) {
        for (String key : List.copyOf(objects.keySet())) {
            if (Draw.chance(random, share)) {
                remove(key);
            }
        }
    }

    void clear() {
        objects.clear();
        bytes = 0;
    }
}
