package baymoor.tier.exchange;

/**
 * The credits of one balancer: they come in evenly by its part of the allowance, one buys one fetch, and no more are kept than
 * one and what a fraction of an epoch brings. So a part that was away comes back without a burst.
 */
public final class Credits {

    /** The part of a second's credits that may be kept beside one. */
    public static final double KEPT_SECONDS = 0.05;

    private static final double MICROS = 1e6;

    private double credits;
    private long sinceMicros;

    /** Starts with none. */
    public Credits(long nowMicros) {
        sinceMicros = nowMicros;
    }

    /** Adds what has come in since the last call. */
    public void accrue(long nowMicros, double perSecond) {
        double kept = 1 + KEPT_SECONDS * perSecond;
        double elapsed = Math.max(0, nowMicros - sinceMicros) / MICROS;
        credits = Math.min(kept, credits + elapsed * perSecond);
        sinceMicros = Math.max(sinceMicros, nowMicros);
    }

    /** Spends one, if there is one. */
    public boolean spend() {
        if (credits < 1) {
            return false;
        }
        credits--;
        return true;
    }

    /** Whole credits. */
    public int whole() {
        return (int) credits;
    }
}
