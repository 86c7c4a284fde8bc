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
class ShareRules {

    /** The whole of a group's part. */
    static final int TOTAL_UNITS = 1 << 16;

    private final Group group;
    private final int members;
    private final int[] baseUnits;

    ShareRules(Group group) {
        this(group, TOTAL_UNITS);
    }

    /** For a group whose part has so many units. */
    ShareRules(Group group, int totalUnits) {
        this.group = group;
        members = group.members();
        baseUnits = new int[group.children().size()];
        for (int child = 0; child < baseUnits.length; child++) {
            // One unit less than all, since a gift of the whole has to fit 16 bits.
            baseUnits[child] = (int) ((long) (totalUnits - 1) * group.sizes().get(child) / members);
        }
    }

    /** What a child may give away: members of a site all, groups half, so that who follows a lost holder knows of the rest. */
    int maxTransfer(int child) {
        return group.level() == Level.SITE ? baseUnits(child) : baseUnits(child) / 2;
    }

    /** A child's part by size alone. */
    int baseUnits(int child) {
        return baseUnits[child];
    }

    /**
     * Whether a child has its base in an epoch: unless children with more than half of all members may deny it. A child with
     * half of them can't be denied.
     */
    boolean ownsBase(CommitmentLog log, int child, int acknowledgedEpoch) {
        int acknowledging = group.sizes().get(child);
        for (int other = 0; other < baseUnits.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgedEpoch);
            if (commitment != null && commitment.acknowledges(child)) {
                acknowledging += group.sizes().get(other);
            }
        }
        return 2 * acknowledging >= members;
    }

    /** Whether children with more than half of all members deny a child in an epoch, so that the others have its base. */
    boolean baseRevoked(CommitmentLog log, int child, int acknowledgedEpoch) {
        int unacknowledging = 0;
        for (int other = 0; other < baseUnits.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgedEpoch);
            if (commitment != null && !commitment.acknowledges(child)) {
                unacknowledging += group.sizes().get(other);
            }
        }
        return 2 * unacknowledging > members;
    }

    /** What falls to one child of the base of another that is denied. */
    int reassignedUnits(int fromChild, int toChild) {
        return (int) ((long) baseUnits[fromChild]
                * group.sizes().get(toChild)
                / (members - group.sizes().get(fromChild)));
    }

    /**
     * The units that a child has in an epoch.
     *
     * @param acknowledgedEpoch when the acknowledgements for this epoch were made
     * @param transferEpoch when the gifts for this epoch were made
     * @param ownCommitment what the child itself has given in that epoch, or null where it doesn't know
     */
    int units(CommitmentLog log, int child, int acknowledgedEpoch, int transferEpoch, Commitment ownCommitment) {
        long units = 0;
        if (ownsBase(log, child, acknowledgedEpoch)) {
            units += baseUnits[child] - (ownCommitment == null ? maxTransfer(child) : ownCommitment.given());
        }
        for (int other = 0; other < baseUnits.length; other++) {
            if (other == child) {
                continue;
            }
            Commitment commitment = log.get(other, transferEpoch);
            units += commitment == null ? 0 : commitment.gives()[child];
            units += baseRevoked(log, other, acknowledgedEpoch) ? reassignedUnits(other, child) : 0;
        }
        return (int) Math.max(0, units);
    }

    /**
     * What a child gives to the others so that all together come to the weighted split of what they hold: the givers' surplus
     * laid beside the takers' want, both in the order of their indices.
     *
     * @param weights 0 for children that aren't heard
     */
    int[] transfers(int child, double[] weights, int[] draws) {
        long total = 0;
        for (int other = 0; other < baseUnits.length; other++) {
            total += weights[other] > 0 ? baseUnits[other] : 0;
        }
        long[] target = Split.shares(total, weights, draws);
        long surplusBefore = 0;
        for (int other = 0; other < child; other++) {
            surplusBefore += surplus(other, weights, target);
        }
        long surplusEnd = surplusBefore + surplus(child, weights, target);
        int[] transfers = new int[Places.LARGEST_GROUP];
        long deficitBefore = 0;
        for (int other = 0; other < baseUnits.length && deficitBefore < surplusEnd; other++) {
            long deficit = weights[other] > 0 ? Math.max(0, target[other] - baseUnits[other]) : 0;
            long overlap = Math.min(surplusEnd, deficitBefore + deficit) - Math.max(surplusBefore, deficitBefore);
            transfers[other] = (int) Math.max(0, overlap);
            deficitBefore += deficit;
        }
        return transfers;
    }

    private long surplus(int child, double[] weights, long[] target) {
        return weights[child] > 0 ? Math.max(0, Math.min(maxTransfer(child), baseUnits[child] - target[child])) : 0;
    }
}
