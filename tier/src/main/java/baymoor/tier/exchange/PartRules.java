package baymoor.tier.exchange;

import baymoor.tier.message.Commitment;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.split.Split;

/**
 * The rules by which the children of a group divide the group's movable part. All follow from commitments, which never change,
 * so the parts of an epoch add up to no more than the whole, whoever knows how much of them.
 */
class PartRules {

    /** The whole of a group's part. */
    static final int WHOLE = 1 << 16;

    private final Group group;
    private final int members;
    private final int[] base;

    PartRules(Group group) {
        this(group, WHOLE);
    }

    /** For a group whose part has so many units. */
    PartRules(Group group, int whole) {
        this.group = group;
        members = group.members();
        base = new int[group.children().size()];
        for (int child = 0; child < base.length; child++) {
            // One unit less than all, since a gift of the whole has to fit 16 bits.
            base[child] = (int) ((long) (whole - 1) * group.sizes().get(child) / members);
        }
    }

    /** What a child may give away: members of a site all, groups half, so that who follows a lost holder knows of the rest. */
    int mostGiven(int child) {
        return group.level() == Level.SITE ? base(child) : base(child) / 2;
    }

    /** A child's part by size alone. */
    int base(int child) {
        return base[child];
    }

    /**
     * Whether a child has its base in an epoch: unless children with more than half of all members may deny it. A child with
     * half of them can't be denied.
     */
    boolean owns(CommitmentLog log, int child, int acknowledgedEpoch) {
        int acknowledging = group.sizes().get(child);
        for (int other = 0; other < base.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgedEpoch);
            if (commitment != null && commitment.acknowledges(child)) {
                acknowledging += group.sizes().get(other);
            }
        }
        return 2 * acknowledging >= members;
    }

    /** Whether children with more than half of all members deny a child in an epoch, so that the others have its base. */
    boolean denied(CommitmentLog log, int child, int acknowledgedEpoch) {
        int denying = 0;
        for (int other = 0; other < base.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgedEpoch);
            if (commitment != null && !commitment.acknowledges(child)) {
                denying += group.sizes().get(other);
            }
        }
        return 2 * denying > members;
    }

    /** What falls to one child of the base of another that is denied. */
    int piece(int ofChild, int toChild) {
        return (int) ((long) base[ofChild]
                * group.sizes().get(toChild)
                / (members - group.sizes().get(ofChild)));
    }

    /**
     * The units that a child has in an epoch.
     *
     * @param acknowledgedEpoch when the acknowledgements for this epoch were made
     * @param givenEpoch when the gifts for this epoch were made
     * @param ownGifts what the child itself has given in that epoch, or null where it doesn't know
     */
    int units(CommitmentLog log, int child, int acknowledgedEpoch, int givenEpoch, Commitment ownGifts) {
        long units = 0;
        if (owns(log, child, acknowledgedEpoch)) {
            units += base[child] - (ownGifts == null ? mostGiven(child) : ownGifts.given());
        }
        for (int other = 0; other < base.length; other++) {
            if (other == child) {
                continue;
            }
            Commitment commitment = log.get(other, givenEpoch);
            units += commitment == null ? 0 : commitment.gives()[child];
            units += denied(log, other, acknowledgedEpoch) ? piece(other, child) : 0;
        }
        return (int) Math.max(0, units);
    }

    /**
     * What a child gives to the others so that all together come to the weighted split of what they hold: the givers' surplus
     * laid beside the takers' want, both in the order of their indices.
     *
     * @param weights 0 for children that aren't heard
     */
    int[] gifts(int child, double[] weights, int[] draws) {
        long total = 0;
        for (int other = 0; other < base.length; other++) {
            total += weights[other] > 0 ? base[other] : 0;
        }
        long[] target = Split.shares(total, weights, draws);
        long before = 0;
        for (int other = 0; other < child; other++) {
            before += surplus(other, weights, target);
        }
        long end = before + surplus(child, weights, target);
        int[] gifts = new int[Places.LARGEST_GROUP];
        long wanted = 0;
        for (int other = 0; other < base.length && wanted < end; other++) {
            long want = weights[other] > 0 ? Math.max(0, target[other] - base[other]) : 0;
            long overlap = Math.min(end, wanted + want) - Math.max(before, wanted);
            gifts[other] = (int) Math.max(0, overlap);
            wanted += want;
        }
        return gifts;
    }

    private long surplus(int child, double[] weights, long[] target) {
        return weights[child] > 0 ? Math.max(0, Math.min(mostGiven(child), base[child] - target[child])) : 0;
    }
}
