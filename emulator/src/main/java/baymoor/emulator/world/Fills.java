package baymoor.emulator.world;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * What happens behind the balancers' backs: once the origin has answered a read that somebody still waits for, the
 * object is stored at the first two routers that missed for that request; a write voids the copies of its key.
 */
final class Fills {

    private static final long KEEP_MICROS = 10_000_000;
    private static final int MOST_STORED = 2;

    private record Miss(String id, long at, List<Router> routers, boolean[] cold) { }

    private record Read(long at, boolean atCold) { }

    private final Time time;
    private final long delayMicros;
    private final Supplier<List<Router>> routers;
    private final Map<String, Miss> misses = new HashMap<>();
    private final ArrayDeque<Miss> order = new ArrayDeque<>();
    private final ArrayDeque<Read> reads = new ArrayDeque<>();

    Fills(Time time, long delayMicros, Supplier<List<Router>> routers) {
        this.time = time;
        this.delayMicros = delayMicros;
        this.routers = routers;
    }

    /** A router has told a miss for a request. */
    void missed(String id, Router router, boolean cold) {
        long now = time.now();
        while (!order.isEmpty() && now - order.peek().at > KEEP_MICROS) {
            Miss old = order.poll();
            misses.remove(old.id, old);
        }
        Miss miss = misses.get(id);
        if (miss == null) {
            miss = new Miss(id, now, new ArrayList<>(2), new boolean[1]);
            misses.put(id, miss);
            order.add(miss);
        }
        miss.routers.add(router);
        miss.cold[0] |= cold;
    }

    /** A read has come to a router. */
    void read(boolean atCold) {
        reads.add(new Read(time.now(), atCold));
    }

    /** Reads that came to routers within the last so many microseconds. */
    int reads(long micros) {
        long from = time.now() - micros;
        while (!reads.isEmpty() && reads.peek().at < from) {
            reads.poll();
        }
        return reads.size();
    }

    /** Whether this request missed at a router that was cold. */
    boolean missedCold(String id) {
        Miss miss = misses.get(id);
        return miss != null && miss.cold[0];
    }

    void fetched(String id, String key, long size) {
        Miss miss = misses.remove(id);
        if (miss != null) {
            miss.routers.stream().limit(MOST_STORED)
                    .forEach(r -> time.after(delayMicros, () -> r.store(key, size)));
        }
    }

    void changed(String key) {
        time.after(delayMicros, () -> routers.get().forEach(r -> r.voided(key)));
    }
}
