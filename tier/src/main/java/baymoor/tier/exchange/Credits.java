package baymoor.tier.exchange;

/**
 * The credits of one balancer: they come in evenly by its part of the allowance, one buys one fetch, and no more are kept than
 * one and what a fraction of an epoch brings. So a part that was away comes back without a burst.
 */
public final class Credits {

    /** The part of a second's credits that may be kept beside one. */
    public static final double BURST_SECONDS = 0.05;

    private static final double MICROS_PER_SECOND = 1e6;

    private double credits;
    private long lastAccrualMicros;

    /** Starts with none. */
    public Credits(long nowMicros) {
        lastAccrualMicros = nowMicros;
    }

    /** Adds what has come in since the last call. */
    public void accrue(long nowMicros, double perSecond) {
        double limit = 1 + BURST_SECONDS * perSecond;
        double elapsed = Math.max(0, nowMicros - lastAccrualMicros) / MICROS_PER_SECOND;
        credits = Math.min(limit, credits + elapsed * perSecond);
        lastAccrualMicros = Math.max(lastAccrualMicros, nowMicros);
    }

    /** Spends one, if there is one. */
    public boolean trySpend() {
        if (credits < 1) {
            return false;
        }
        credits--;
        return true;
    }

    /** Whole credits. */
    public int available() {
        return (int) credits;
    }
}
