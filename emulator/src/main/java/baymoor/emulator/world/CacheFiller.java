package baymoor.emulator.world;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Fills and invalidates the caches of the routers, independently of the balancers: an object that the origin serves is
 * stored at the first routers that reported a miss for that request, and a write invalidates all copies of its key.
 * Not thread-safe: all calls come from the platform's event thread.
 */
final class CacheFiller {

    private static final long MISS_RETENTION_MICROS = 10_000_000;
    private static final int MAX_FILLED_ROUTERS = 2;

    /** The routers that reported a miss for a request; {@code cold}: one element, whether any of them was cold. */
    private record Miss(String id, long reportedAt, List<Router> routers, boolean[] cold) {}

    private final Time time;
    private final long delayMicros;
    private final long windowMicros;
    private final Consumer<String> invalidateAll;
    private final Map<String, Miss> missesById = new HashMap<>();
    private final ArrayDeque<Miss> missOrder = new ArrayDeque<>();
    private final ArrayDeque<Long> readTimes = new ArrayDeque<>();

    /**
     * @param delayMicros   delay of each fill and invalidation
     * @param windowMicros  period over which reads are counted
     * @param invalidateAll invalidates the copies of a key at all routers
     */
    CacheFiller(Time time, long delayMicros, long windowMicros, Consumer<String> invalidateAll) {
        this.time = time;
        this.delayMicros = delayMicros;
        this.windowMicros = windowMicros;
        this.invalidateAll = invalidateAll;
    }

    /** Records that a router reported a miss for a request. */
    void recordMiss(String id, Router router, boolean cold) {
        long now = time.now();
        while (!missOrder.isEmpty() && now - missOrder.peek().reportedAt > MISS_RETENTION_MICROS) {
            Miss old = missOrder.poll();
            missesById.remove(old.id, old);
        }
        Miss miss = missesById.get(id);
        if (miss == null) {
            miss = new Miss(id, now, new ArrayList<>(2), new boolean[1]);
            missesById.put(id, miss);
            missOrder.add(miss);
        }
        miss.routers.add(router);
        miss.cold[0] |= cold;
    }

    /** Records that a router received a read. */
    void recordRead() {
        readTimes.add(time.now());
        dropOldReads();
    }

    private void dropOldReads() {
        long from = time.now() - windowMicros;
        while (!readTimes.isEmpty() && readTimes.peek() < from) {
            readTimes.poll();
        }
    }

    /** Returns the number of reads that routers received within the window. */
    int recentReads() {
        dropOldReads();
        return readTimes.size();
    }

    /** Returns whether the request missed at a router that was cold. */
    boolean missedWhileCold(String id) {
        Miss miss = missesById.get(id);
        return miss != null && miss.cold[0];
    }

    /** Stores an object that the origin served at the routers that missed it for this request. */
    void fill(String id, String key, long size) {
        Miss miss = missesById.remove(id);
        if (miss != null) {
            miss.routers.stream()
                    .limit(MAX_FILLED_ROUTERS)
                    .forEach(r -> time.schedule(delayMicros, () -> r.store(key, size)));
        }
    }

    /** Invalidates all copies of a key that has changed at the origin. */
    void invalidate(String key) {
        time.schedule(delayMicros, () -> invalidateAll.accept(key));
    }
}
