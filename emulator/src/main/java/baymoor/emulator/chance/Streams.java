package baymoor.emulator.chance;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives an independent random number generator for each named actor from a single seed, so that adding an actor, or
 * more draws by one of them, does not change the numbers that the others get. The generator is XoRoShiRo128++ (Blackman
 * and Vigna, 2018).
 */
public final class Streams {

    private static final int SEED_LONGS = 2;

    private final long seed;

    public Streams(long seed) {
        this.seed = seed;
    }

    /** Returns a new generator for a name; the same seed and name always give the same sequence. */
    public UniformRandomProvider of(String name) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(ByteBuffer.allocate(Long.BYTES).putLong(seed).array());
            ByteBuffer bytes = ByteBuffer.wrap(digest.digest(name.getBytes(StandardCharsets.UTF_8)));
            long[] state = new long[SEED_LONGS];
            for (int i = 0; i < SEED_LONGS; i++) {
                state[i] = bytes.getLong();
            }
            return RandomSource.XO_RO_SHI_RO_128_PP.create(state);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }
}
