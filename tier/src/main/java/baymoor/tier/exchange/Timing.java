package baymoor.tier.exchange;

import baymoor.tier.place.Level;

/**
 * The schedule of the exchange. Epochs are counted by the machines' clocks, which may differ by up to
 * {@link #MAX_CLOCK_SKEW_MICROS}. Each level sends later in the epoch than the one below, by at least that skew, so that it has
 * received the lower level's messages of the same epoch.
 *
 * @param epochMicros the length of an epoch, in which each child of a group sends one message
 */
public record Timing(long epochMicros) {

    /** Epochs of one second, the period of the allowance. */
    public static final Timing DEFAULT = new Timing(1_000_000);

    /** The maximum tolerated difference between the clocks of two machines, for epochs of one second. */
    public static final long MAX_CLOCK_SKEW_MICROS = 200_000;
    /** Epochs for which a child counts as alive after its last message. */
    static final int FRESHNESS_EPOCHS = 2;
    /** Messages from epochs further in the past are dropped. */
    static final int MAX_AGE_EPOCHS = 4;
    /** Messages from epochs further in the future are dropped. */
    static final int MAX_FUTURE_EPOCHS = 1;

    /** The part of an epoch over which the members of a site spread their messages. */
    private static final double SITE_SEND_SPREAD = 0.15;
    /** When each level sends, from the site up, in fractions of an epoch. */
    private static final double[] SEND_OFFSETS = {0, 0.4, 0.65, 0.9};

    /** Returns the epoch that contains a time. */
    public int epoch(long micros) {
        return (int) (micros / epochMicros);
    }

    /** Returns when the given child of a group sends its message of an epoch. The members of a site send one after another. */
    public long sendMicros(Level level, int epoch, int child, int children) {
        double spread = level == Level.SITE ? SITE_SEND_SPREAD * child / children : 0;
        return epoch * epochMicros + (long) ((SEND_OFFSETS[level.ordinal()] + spread) * epochMicros);
    }

    /** Returns how many epochs ahead the children of a group of this level commit to transfers. */
    static int transferLead(Level level) {
        return level.ordinal() + 2;
    }

    /** Returns how many epochs ahead they commit to acknowledgements: early enough to be known when transfers are made. */
    static int acknowledgementLead(Level level) {
        return transferLead(level) + 2;
    }

    /** Returns how many epochs ahead the first share in a digest at this level applies. */
    static int digestLead(Level level) {
        return level.ordinal() + 1;
    }

    /** Returns the epochs after which a child that receives nothing from its siblings falls back to its guaranteed share. */
    public static int fallBackEpochs(Level level) {
        return acknowledgementLead(level) + 1;
    }

    /** Returns the epochs after a child's last message until its siblings may use its units. */
    public static int reallocationEpochs(Level level) {
        return acknowledgementLead(level) + FRESHNESS_EPOCHS + 1;
    }
}
