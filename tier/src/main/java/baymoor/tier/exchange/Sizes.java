package baymoor.tier.exchange;

import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;

/**
 * What messages hold, and what they come to: chosen so that a balancer that holds the leases of its site, zone and region at
 * once stays within the budget at 640 balancers and 49 sites.
 */
public final class Sizes {

    /** Bytes of a datagram's IP and UDP headers. */
    public static final int HEADER_BYTES = 28;
    /** Bytes a second that a balancer may spend on control, both ways together, headers included. */
    public static final int BUDGET_BYTES_PER_SECOND = 7_000;

    static final int MEMBER_LOADS_APART = 4;
    static final int MEMBER_LOADS_RUN = 18;
    static final int GROUP_LOADS_APART = 4;
    static final int GROUP_LOADS_RUN = 24;
    static final int OUTSIDE_LOADS_APART = 4;
    static final int OUTSIDE_LOADS_RUN = 24;

    private static final int MESSAGE_BYTES = 39;
    private static final int COMMITMENT_BYTES = 3;
    private static final int GIFT_BYTES = 3;
    private static final int DIGEST_BYTES = 37;
    private static final int SPEAKER_BYTES = 2;
    private static final int REPORT_BYTES = 6;
    private static final int APART_BYTES = 3;

    /** Messages and bytes a second, both ways together. */
    public record Traffic(double messages, double bytes) {
        Traffic plus(Traffic other) {
            return new Traffic(messages + other.messages, bytes + other.bytes);
        }
    }

    private Sizes() {}

    /** Bytes of a message at a level with gifts to so many siblings, all loads told. */
    static int messageBytes(Level level, int gifts) {
        boolean site = level == Level.SITE;
        int apart = site ? MEMBER_LOADS_APART : GROUP_LOADS_APART;
        int run = site ? MEMBER_LOADS_RUN : GROUP_LOADS_RUN;
        int commitments = 2 * (COMMITMENT_BYTES + gifts * GIFT_BYTES);
        return MESSAGE_BYTES + commitments + REPORT_BYTES + apart * APART_BYTES + run;
    }

    /** Bytes of what a holder adds to its message. */
    static int digestBytes(int siblingsAbove) {
        int loads = REPORT_BYTES + OUTSIDE_LOADS_APART * APART_BYTES + OUTSIDE_LOADS_RUN;
        return DIGEST_BYTES + siblingsAbove * SPEAKER_BYTES + loads;
    }

    /**
     * The traffic of a balancer.
     *
     * @param holds the number of leases it holds, from its site up
     * @param gifts siblings that a message gives to, on average
     */
    public static Traffic traffic(Places places, int balancer, int holds, int gifts, Timing timing) {
        Traffic sum = new Traffic(0, 0);
        for (int level = 0; level < Level.COUNT && level <= holds; level++) {
            sum = sum.plus(atLevel(places, Level.of(level), balancer, holds > level, gifts));
        }
        double perSecond = 1e6 / timing.epochMicros();
        return new Traffic(sum.messages() * perSecond, sum.bytes() * perSecond);
    }

    private static Traffic atLevel(Places places, Level level, int balancer, boolean holder, int gifts) {
        Group group = places.group(level, balancer);
        int others = group.children().size() - 1;
        int message = HEADER_BYTES + messageBytes(level, Math.min(gifts, others));
        int above = level.isTop()
                ? 0
                : places.group(level.above(), balancer).children().size();
        // One digest goes to all siblings, or comes from one of them.
        int digests = level.isTop() ? 0 : holder ? others : Math.min(1, others);
        return new Traffic(2.0 * others, 2.0 * others * message + (double) digests * digestBytes(above));
    }
}
