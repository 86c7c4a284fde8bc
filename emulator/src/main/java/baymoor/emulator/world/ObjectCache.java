package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What a router keeps: objects up to so many bytes, those used longest ago going first, each for a time at the most.
 * The order is exactly that of use, which the replay of a run needs; caches for service approximate it.
 */
final class ObjectCache {

    private record CachedObject(long bytes, long expiresAt) {}

    private final long capacityBytes;
    private final long ttlMicros;
    private final LinkedHashMap<String, CachedObject> objects = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /** @param ttlMicros microseconds, 0 for as long as there is room */
    ObjectCache(long capacityBytes, long ttlMicros) {
        this.capacityBytes = capacityBytes;
        this.ttlMicros = ttlMicros;
    }

    /** Whether it holds a key, which counts as a use. */
    boolean hit(String key, long now) {
        CachedObject cached = objects.get(key);
        if (cached != null && cached.expiresAt < now) {
            remove(key);
            return false;
        }
        return cached != null;
    }

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

    /** Voids each object with a chance. */
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
