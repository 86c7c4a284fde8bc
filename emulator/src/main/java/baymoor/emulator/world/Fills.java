package baymoor.emulator.world;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * What happens behind the balancers' backs: once the origin has answered a read that somebody still waits for, the
 * object is stored at the first two routers that missed for that request; a write voids the copies of its key.
 */
final class Fills {

    private static final long MISS_RETENTION_MICROS = 10_000_000;
    private static final int MAX_FILLED_ROUTERS = 2;

    private record Miss(String id, long reportedAt, List<Router> routers, boolean[] cold) {}

    private final Time time;
    private final long delayMicros;
    private final long windowMicros;
    private final Consumer<String> invalidateAll;
    private final Map<String, Miss> missesById = new HashMap<>();
    private final ArrayDeque<Miss> missOrder = new ArrayDeque<>();
    private final ArrayDeque<Long> readTimes = new ArrayDeque<>();

    /**
     * @param windowMicros for which reads are remembered
     * @param invalidateAll      voids the copies of a key, wherever they are
     */
    Fills(Time time, long delayMicros, long windowMicros, Consumer<String> invalidateAll) {
        this.time = time;
        this.delayMicros = delayMicros;
        this.windowMicros = windowMicros;
        this.invalidateAll = invalidateAll;
    }

    /** A router has told a miss for a request. */
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

    /** A read has come to a router. */
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

    /** Reads that came to routers within the window. */
    int recentReads() {
        dropOldReads();
        return readTimes.size();
    }

    /** Whether this request missed at a router that was cold. */
    boolean missedWhileCold(String id) {
        Miss miss = missesById.get(id);
        return miss != null && miss.cold[0];
    }

    void fill(String id, String key, long size) {
        Miss miss = missesById.remove(id);
        if (miss != null) {
            miss.routers.stream()
                    .limit(MAX_FILLED_ROUTERS)
                    .forEach(r -> time.after(delayMicros, () -> r.store(key, size)));
        }
    }

    void changed(String key) {
        time.after(delayMicros, () -> invalidateAll.accept(key));
    }
}
