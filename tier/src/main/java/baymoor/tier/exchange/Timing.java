package baymoor.tier.exchange;

import baymoor.tier.place.Level;

/**
 * Epochs and the moments in them. Epochs are counted by the machines' clocks, which may differ by {@link #MAX_CLOCK_SKEW_MICROS}:
 * each level speaks a quarter of an epoch after the one below, so that it has heard that one's messages of the same epoch.
 *
 * @param epochMicros the length of an epoch, in which each child of a group speaks once
 */
public record Timing(long epochMicros) {

    /** One second, as the quotas go by. */
    public static final Timing USUAL = new Timing(1_000_000);

    /** The most by which the clocks of two machines may differ, where epochs last a second. */
    public static final long MAX_CLOCK_SKEW_MICROS = 200_000;
    /** Epochs after which the figures of a silent child no longer count. */
    static final int FRESHNESS_EPOCHS = 2;
    /** Messages from further back, or from further in the future, are dropped. */
    static final int MAX_AGE_EPOCHS = 4;

    static final int MAX_LEAD_EPOCHS = 1;

    private static final double SITE_SEND_SPREAD = 0.15;
    private static final double[] SEND_OFFSETS = {0, 0.4, 0.65, 0.9};

    /** The epoch of a time. */
    public int epoch(long micros) {
        return (int) (micros / epochMicros);
    }

    /** When a balancer speaks at a level in an epoch; in sites the members speak one after another. */
    public long sendMicros(Level level, int epoch, int child, int children) {
        double spread = level == Level.SITE ? SITE_SEND_SPREAD * child / children : 0;
        return epoch * epochMicros + (long) ((SEND_OFFSETS[level.ordinal()] + spread) * epochMicros);
    }

    /** How many epochs ahead a child of a group of this level says what it gives. */
    static int transferLead(Level level) {
        return level.ordinal() + 2;
    }

    /** How many epochs ahead it says whom it acknowledges: known everywhere when gives are made. */
    static int acknowledgeLead(Level level) {
        return transferLead(level) + 2;
    }

    /** The first epoch that a digest at this level is about, counted from its own. */
    static int digestLead(Level level) {
        return level.ordinal() + 1;
    }

    /** Epochs after the last word of the others until a child of such a group falls back to its guaranteed part. */
    public static int fallBackEpochs(Level level) {
        return acknowledgeLead(level) + 1;
    }

    /** Epochs after the last word of a child until its siblings may use what it held. */
    public static int reallocationEpochs(Level level) {
        return acknowledgeLead(level) + FRESHNESS_EPOCHS + 1;
    }
}
