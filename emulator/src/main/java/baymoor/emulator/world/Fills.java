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

    private static final long KEEP_MICROS = 10_000_000;
    private static final int MOST_STORED = 2;

    private record Miss(String id, long at, List<Router> routers, boolean[] cold) {}

    private final Time time;
    private final long delayMicros;
    private final long windowMicros;
    private final Consumer<String> voidAll;
    private final Map<String, Miss> misses = new HashMap<>();
    private final ArrayDeque<Miss> order = new ArrayDeque<>();
    private final ArrayDeque<Long> reads = new ArrayDeque<>();

    /**
     * @param windowMicros for which reads are remembered
     * @param voidAll      voids the copies of a key, wherever they are
     */
    Fills(Time time, long delayMicros, long windowMicros, Consumer<String> voidAll) {
        this.time = time;
        this.delayMicros = delayMicros;
        this.windowMicros = windowMicros;
        this.voidAll = voidAll;
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
    void read() {
        reads.add(time.now());
        forgetReads();
    }

    private void forgetReads() {
        long from = time.now() - windowMicros;
        while (!reads.isEmpty() && reads.peek() < from) {
            reads.poll();
        }
    }

    /** Reads that came to routers within the window. */
    int reads() {
        forgetReads();
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
            miss.routers.stream().limit(MOST_STORED).forEach(r -> time.after(delayMicros, () -> r.store(key, size)));
        }
    }

    void changed(String key) {
        time.after(delayMicros, () -> voidAll.accept(key));
    }
}
