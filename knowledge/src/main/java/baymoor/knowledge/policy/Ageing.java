package baymoor.knowledge.policy;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Item;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.data.Knowledge.Origin;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/**
 * Weighs what is recalled by its age. Support halves in the half-life of its kind, and a figure moves from what was
 * learned towards what a fresh instance assumes, by the share of its support that is left. So an old item says little,
 * and a very old one nothing.
 *
 * <p>What recalled knowledge may never do, whatever its age: speak of a process that has started since, or of a host that
 * is not listed; let a host that is cold by now be sent more at a time than a fresh instance would send it; let the origin
 * be asked for more than a fresh instance could prove within one period.
 */
public final class Ageing {

    /**
     * @param healthMillis half-life of whether a host fails or is out of use
     * @param speedMillis  of its latency and limit
     * @param keyMillis    of the popularity of keys
     * @param originMillis of what the origin can take
     * @param leastSupport under which an item is dropped
     */
    public record HalfLives(
            long healthMillis, long speedMillis, long keyMillis, long originMillis, double leastSupport) {
        public HalfLives {
            if (healthMillis <= 0 || speedMillis <= 0 || keyMillis <= 0 || originMillis <= 0 || !(leastSupport > 0)) {
                throw new IllegalArgumentException("a half-life or the least support is not above 0");
            }
        }

        public static final HalfLives USUAL = new HalfLives(5_000, 120_000, 30_000, 45_000, 0.5);
    }

    /**
     * What a fresh instance assumes.
     *
     * @param limit           attempts out at a host until its answers tell
     * @param latencyMicros   of a host not heard yet
     * @param originPerSecond fetches that it begins with
     * @param growth          factor by which it could raise them within one period
     * @param coldMillis      for which a host that has started is cold
     */
    public record Fresh(double limit, double latencyMicros, double originPerSecond, double growth, long coldMillis) {}

    /** What is listed of a host now; null from the look-up where it is not. */
    public record Listed(long since) {}

    private final HalfLives halfLives;
    private final Fresh fresh;

    public Ageing(HalfLives halfLives, Fresh fresh) {
        this.halfLives = halfLives;
        this.fresh = fresh;
    }

    /** The share of its support that an item has left; one from the future, of a clock set back, has none. */
    static double left(long learnedAt, long now, long halfLifeMillis) {
        long age = now - learnedAt;
        return age < 0 ? 0 : Math.pow(0.5, (double) age / halfLifeMillis);
    }

    /** What may be believed now. Its items keep the times at which they were learned. */
    public Knowledge weigh(Knowledge recalled, long now, LongFunction<Listed> list) {
        List<Host> hosts = new ArrayList<>();
        for (Host h : recalled.hosts()) {
            Host believed = host(h, now, list.apply(h.id()));
            if (believed != null) {
                hosts.add(believed);
            }
        }
        List<Key> keys = new ArrayList<>();
        for (Key k : recalled.keys()) {
            double left = left(k.learnedAt(), now, halfLives.keyMillis);
            if (enough(k, left)) {
                keys.add(new Key(k.key(), k.learnedAt(), k.support() * left, k.rate() * left));
            }
        }
        return new Knowledge(
                recalled.instance(), recalled.takenAt(), recalled.upFor(), hosts, keys, origin(recalled.origin(), now));
    }

    private boolean enough(Item item, double left) {
        return item.support() * left >= halfLives.leastSupport;
    }

    private Host host(Host h, long now, Listed listed) {
        if (listed == null || listed.since > h.learnedAt() || listed.since != h.since()) {
            return null; // another process than the one this is about
        }
        double speed = left(h.learnedAt(), now, halfLives.speedMillis);
        if (!enough(h, speed)) {
            return null;
        }
        double health = left(h.learnedAt(), now, halfLives.healthMillis);
        double limit = fresh.limit + (h.limit() - fresh.limit) * speed;
        boolean cold = listed.since > 0 && now - listed.since < fresh.coldMillis;
        return new Host(
                h.id(),
                h.since(),
                h.learnedAt(),
                h.support() * speed,
                fresh.latencyMicros + (h.latencyMicros() - fresh.latencyMicros) * speed,
                cold ? Math.min(limit, fresh.limit) : limit,
                h.failing() * health,
                h.out() && health >= 0.5);
    }

    private Origin origin(Origin o, long now) {
        double left = o == null ? 0 : left(o.learnedAt(), now, halfLives.originMillis);
        if (o == null || !enough(o, left)) {
            return null;
        }
        double believed = fresh.originPerSecond + (o.perSecond() - fresh.originPerSecond) * left;
        return new Origin(
                o.learnedAt(),
                o.support() * left,
                Math.min(believed, fresh.originPerSecond * fresh.growth),
                o.quickMicros());
    }
}
