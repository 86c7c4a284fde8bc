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

    private record Kept(long bytes, long until) {}

    private final long most;
    private final long ttl;
    private final LinkedHashMap<String, Kept> objects = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;

    /** @param ttl microseconds, 0 for as long as there is room */
    ObjectCache(long most, long ttl) {
        this.most = most;
        this.ttl = ttl;
    }

    /** Whether it holds a key, which counts as a use. */
    boolean hit(String key, long now) {
        Kept kept = objects.get(key);
        if (kept != null && kept.until < now) {
            drop(key);
            return false;
        }
        return kept != null;
    }

    void keep(String key, long size, long now) {
        if (size > most) {
            return;
        }
        Kept before = objects.put(key, new Kept(size, ttl == 0 ? Long.MAX_VALUE : now + ttl));
        bytes += size - (before == null ? 0 : before.bytes);
        Iterator<Map.Entry<String, Kept>> oldest = objects.entrySet().iterator();
        while (bytes > most) {
            bytes -= oldest.next().getValue().bytes;
            oldest.remove();
        }
    }

    void drop(String key) {
        Kept kept = objects.remove(key);
        bytes -= kept == null ? 0 : kept.bytes;
    }

    /** Voids each object with a chance. */
    void drop(double share, UniformRandomProvider chance) {
        for (String key : List.copyOf(objects.keySet())) {
            if (Draw.chance(chance, share)) {
                drop(key);
            }
        }
    }

    void clear() {
        objects.clear();
        bytes = 0;
    }
}
