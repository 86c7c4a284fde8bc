package baymoor.tier.split;

/** Random draws from a seed (splitmix64); the same everywhere, and small enough to have one for each balancer. */
public final class Draws {

    private static final long GAMMA = 0x9e3779b97f4a7c15L;

    private long state;

    /** Draws that follow from a seed. */
    public Draws(long seed) {
        state = seed;
    }

    /** The next draw, 16 bits. */
    public int next() {
        state += GAMMA;
        long x = state;
        x = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
        x = (x ^ (x >>> 27)) * 0x94d049bb133111ebL;
        return (int) (x >>> 48);
    }
}
