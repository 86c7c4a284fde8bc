package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** What is true of a key wherever it is asked for: its size, and the work that it makes in each class. */
public final class Catalogue {

    private static final long MIN_OBJECT_BYTES = 64;
    private static final long MAX_OBJECT_BYTES = 60 * 1024;

    private final Scenario.Keys keys;
    private final long seed;
    private final Map<String, RequestClass> classes = new HashMap<>();

    public Catalogue(Scenario scenario, long seed) {
        keys = scenario.keys();
        this.seed = seed;
        scenario.classes().forEach(c -> classes.put(c.name(), c));
    }

    /** What a key is, as one who has the origin's data would know it. */
    public record KeyProfile(long size, double workShare) {}

    private UniformRandomProvider randomFor(long key) {
        return RandomSource.SPLIT_MIX_64.create(key ^ seed);
    }

    /** The size and work of a key, always the same for one seed. */
    public KeyProfile profile(long key) {
        UniformRandomProvider random = randomFor(key);
        double share = random.nextDouble();
        long size = (long) (keys.size() * Draw.logNormal(random, keys.sizeSigma()));
        return new KeyProfile(Math.max(MIN_OBJECT_BYTES, Math.min(MAX_OBJECT_BYTES, size)), share);
    }

    /** The popular key of a rank (0 the most popular) at a time: by and by new keys take the ranks over. */
    public long key(int rank, long micros) {
        double generation = keys.drift() * micros / 1e6 + (rank * 0.6180339887498949) % 1;
        return randomFor(rank * 1_000_003L + (long) Math.floor(generation)).nextLong();
    }

    /** The request class of a name, or null. */
    public RequestClass requestClass(String name) {
        return classes.get(name);
    }

    /** Work of a request in microseconds of a core of speed 1. */
    public double work(RequestClass requestClass, KeyProfile profile) {
        return requestClass.work().least()
                + profile.workShare()
                        * (requestClass.work().most() - requestClass.work().least());
    }

    /** A key as clients write it: 16 hex digits. */
    public static String name(long key) {
        return HexFormat.of().toHexDigits(key);
    }
}
