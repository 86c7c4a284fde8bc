package baymoor.tier.split;

/** A splitmix64 pseudorandom generator of 16-bit draws. The sequence depends only on the seed. Not thread-safe. */
public final class Draws {

    private static final long GAMMA = 0x9e3779b97f4a7c15L;

    private long state;

    /** Creates a generator with the given seed. */
    public Draws(long seed) {
        state = seed;
    }

    /** Returns the next draw, from 0 to 65535. */
    public int next() {
        state += GAMMA;
        long x = state;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return (int) (x >>> 48);
    }
}
