package baymoor.tier.message;

import java.util.List;

/**
 * A summary of the tier outside a group, sent by the holder of the group's lease to the group's children. Immutable.
 *
 * @param nextShare the group's share of the redistributable allowance, from 0 to 1, in the first epoch that the digest covers
 * @param followingShare the group's share in the epoch after that
 * @param rate the allowance of the whole tier in fetches per second, or 0 if unknown
 * @param outside the totals of all balancers outside the group
 * @param representatives the balancers that send on behalf of the group and its siblings, {@link #UNKNOWN} where none is known
 * @param loads the attempts in flight at routers from balancers outside the group
 */
public record Digest(
        double nextShare,
        double followingShare,
        double rate,
        Totals outside,
        List<Integer> representatives,
        LoadReport loads) {

    /** The number that stands for an unknown balancer. */
    public static final int UNKNOWN = 0xffff;

    public Digest {
        representatives = List.copyOf(representatives);
    }

    /** Returns a copy without loads. */
    Digest withoutLoads() {
        return new Digest(nextShare, followingShare, rate, outside, representatives, LoadReport.NONE);
    }
}
