package baymoor.tier.exchange;

import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;

/**
 * Limits on the contents of messages, and an estimate of the traffic that follows from them. The limits keep a balancer that
 * holds the leases of its site, zone and region at once within the budget in a tier of 640 balancers at 49 sites.
 */
public final class TrafficEstimate {

    /** Bytes of a datagram's IPv4 and UDP headers. */
    public static final int HEADER_BYTES = 28;
    /** Maximum control traffic of a balancer, sent and received together, including headers. */
    public static final int BUDGET_BYTES_PER_SECOND = 7_000;

    /** Router loads in a member's message: those reported individually, and the length of the run. */
    static final int MEMBER_TAGGED_LOADS = 4;

    static final int MEMBER_RUN_LENGTH = 18;
    /** The same for the message of a group's representative. */
    static final int GROUP_TAGGED_LOADS = 4;

    static final int GROUP_RUN_LENGTH = 24;
    /** The same for a digest. */
    static final int OUTSIDE_TAGGED_LOADS = 4;

    static final int OUTSIDE_RUN_LENGTH = 24;

    private static final int MESSAGE_BASE_BYTES = 39;
    private static final int COMMITMENT_BYTES = 3;
    private static final int TRANSFER_BYTES = 3;
    private static final int DIGEST_BASE_BYTES = 37;
    private static final int REPRESENTATIVE_BYTES = 2;
    private static final int LOAD_REPORT_BYTES = 6;
    private static final int TAGGED_LOAD_BYTES = 3;

    /** A rate of messages and of bytes per second, sent and received together. */
    public record Traffic(double messages, double bytes) {
        Traffic plus(Traffic other) {
            return new Traffic(messages + other.messages, bytes + other.bytes);
        }
    }

    private TrafficEstimate() {}

    /** Returns the bytes of a message at a level without a digest, with the given number of transfers and full load reports. */
    static int messageBytes(Level level, int transfers) {
        boolean site = level == Level.SITE;
        int taggedLoads = site ? MEMBER_TAGGED_LOADS : GROUP_TAGGED_LOADS;
        int runLength = site ? MEMBER_RUN_LENGTH : GROUP_RUN_LENGTH;
        int commitments = 2 * (COMMITMENT_BYTES + transfers * TRANSFER_BYTES);
        return MESSAGE_BASE_BYTES + commitments + LOAD_REPORT_BYTES + taggedLoads * TAGGED_LOAD_BYTES + runLength;
    }

    /** Returns the bytes that a lease holder's digest adds to its message. */
    static int digestBytes(int siblingsAbove) {
        int loads = LOAD_REPORT_BYTES + OUTSIDE_TAGGED_LOADS * TAGGED_LOAD_BYTES + OUTSIDE_RUN_LENGTH;
        return DIGEST_BASE_BYTES + siblingsAbove * REPRESENTATIVE_BYTES + loads;
    }

    /**
     * Estimates the control traffic of a balancer.
     *
     * @param heldLeases the number of leases it holds, counted upwards from its site
     * @param transfers the average number of siblings that a message transfers units to
     */
    public static Traffic traffic(Places places, int balancer, int heldLeases, int transfers, Timing timing) {
        Traffic sum = new Traffic(0, 0);
        for (int level = 0; level < Level.COUNT && level <= heldLeases; level++) {
            sum = sum.plus(trafficAtLevel(places, Level.of(level), balancer, heldLeases > level, transfers));
        }
        double perSecond = 1e6 / timing.epochMicros();
        return new Traffic(sum.messages() * perSecond, sum.bytes() * perSecond);
    }

    private static Traffic trafficAtLevel(Places places, Level level, int balancer, boolean holder, int transfers) {
        Group group = places.group(level, balancer);
        int others = group.children().size() - 1;
        int message = HEADER_BYTES + messageBytes(level, Math.min(transfers, others));
        int above = level.isTop()
                ? 0
                : places.group(level.above(), balancer).children().size();
        // A holder sends its digest to all siblings; any other member receives one.
        int digests = level.isTop() ? 0 : holder ? others : Math.min(1, others);
        return new Traffic(2.0 * others, 2.0 * others * message + (double) digests * digestBytes(above));
    }
}
