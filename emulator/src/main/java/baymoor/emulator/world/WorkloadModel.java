package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives the properties of keys from the scenario and its seed: popularity ranks, object sizes, and the work that a
 * request for a key makes in each request class. Immutable.
 */
public final class WorkloadModel {

    private static final long MIN_OBJECT_BYTES = 64;
    private static final long MAX_OBJECT_BYTES = 60 * 1024;

    private final Scenario.Keys keys;
    private final long seed;
    private final Map<String, RequestClass> classes = new HashMap<>();

    public WorkloadModel(Scenario scenario, long seed) {
        keys = scenario.keys();
        this.seed = seed;
        scenario.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** The object size of a key in bytes, and where its work lies in the range of a class: 0 for least, 1 for most. */
    public record KeyProfile(long size, double workShare) {}

    private UniformRandomProvider randomFor(long key) {
        return RandomSource.SPLIT_MIX_64.create(key ^ seed);
    }

    /** Returns the size and work share of a key, which depend on the key and the seed only. */
    public KeyProfile profile(long key) {
        UniformRandomProvider random = randomFor(key);
        double share = random.nextDouble();
        long size = (long) (keys.size() * Draw.logNormal(random, keys.sizeSigma()));
        return new KeyProfile(Math.max(MIN_OBJECT_BYTES, Math.min(MAX_OBJECT_BYTES, size)), share);
    }

    /**
     * Returns the key that has a popularity rank at a time. Keys are replaced over time at the scenario's drift rate.
     *
     * @param rank   popularity rank, 0 for the most popular key
     * @param micros time in microseconds, relative to the time of the initial ranks
     */
    public long key(int rank, long micros) {
        // Multiples of the golden ratio spread the replacements of the ranks evenly over time.
        double generation = keys.drift() * micros / 1e6 + (rank * 0.6180339887498949) % 1;
        return randomFor(rank * 1_000_003L + (long) Math.floor(generation)).nextLong();
    }

    /** Returns the request class of a name, or null if there is none. */
    public RequestClass requestClass(String name) {
        return classes.get(name);
    }

    /** Returns the work of a request in microseconds of a core of speed 1. */
    public double work(RequestClass requestClass, KeyProfile profile) {
        return requestClass.work().least()
                + profile.workShare()
                        * (requestClass.work().most() - requestClass.work().least());
    }

    /** Returns a key as it is written in requests: 16 hexadecimal digits. */
    public static String name(long key) {
        return HexFormat.of().toHexDigits(key);
    }
}
