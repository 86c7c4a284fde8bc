package baymoor.tier.exchange;

/**
 * A token bucket for one balancer's fetches. Credits accrue at the rate of its share of the allowance, and each fetch spends
 * one. The small capacity prevents a burst after an idle time. Not thread-safe.
 */
public final class Credits {

    /** Time whose accrual may be stored in addition to one credit. */
    public static final double BURST_SECONDS = 0.05;

    private static final double MICROS_PER_SECOND = 1e6;

    private double credits;
    private long lastAccrualMicros;

    /** Creates an empty bucket. */
    public Credits(long nowMicros) {
        lastAccrualMicros = nowMicros;
    }

    /**
     * Adds the credits accrued since the last call. A clock that moved backwards adds none.
     *
     * @param perSecond the current rate of accrual in credits per second
     */
    public void accrue(long nowMicros, double perSecond) {
        double limit = 1 + BURST_SECONDS * perSecond;
        double elapsed = Math.max(0, nowMicros - lastAccrualMicros) / MICROS_PER_SECOND;
        credits = Math.min(limit, credits + elapsed * perSecond);
        lastAccrualMicros = Math.max(lastAccrualMicros, nowMicros);
    }

    /** Spends one credit if a whole one is available, and returns whether it did. */
    public boolean trySpend() {
        if (credits < 1) {
            return false;
        }
        credits--;
        return true;
    }

    /** Returns the number of whole credits. */
    public int available() {
        return (int) credits;
    }
}
