package baymoor.emulator.chance;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * One seed split into a stream of random numbers for each actor, by the actor's name: another actor, or one that draws
 * more, changes nothing for the rest. The generator is XoRoShiRo128++ (Blackman and Vigna, 2018).
 */
public final class Streams {

    private static final int SEED_LONGS = 2;

    private final long seed;

    public Streams(long seed) {
        this.seed = seed;
    }

    /** A stream of its own for a name; the same name gives the same stream from its start. */
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
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }
}
