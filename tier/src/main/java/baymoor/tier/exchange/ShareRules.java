package baymoor.tier.exchange;

import baymoor.tier.message.Commitment;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.split.Split;

/**
 * The rules by which the children of a group divide the group's dynamic share. They depend only on immutable commitments, so
 * the children's units of an epoch never add up to more than the total, however incomplete each child's knowledge is. A missing
 * commitment never increases a child's units. Thread-safe.
 */
class ShareRules {

    /** The units into which a group's share is divided. */
    static final int TOTAL_UNITS = 1 << 16;

    private final Group group;
    private final int members;
    private final int[] baseUnits;

    ShareRules(Group group) {
        this(group, TOTAL_UNITS);
    }

    /** Creates the rules for a group whose share is divided into the given number of units. */
    ShareRules(Group group, int totalUnits) {
        this.group = group;
        members = group.members();
        baseUnits = new int[group.children().size()];
        for (int child = 0; child < baseUnits.length; child++) {
            // One unit is left out because a transfer of all units has to fit into 16 bits.
            baseUnits[child] = (int) ((long) (totalUnits - 1) * group.sizes().get(child) / members);
        }
    }

    /**
     * Returns the most units that a child may transfer: all of its base in a site, half of it elsewhere. The other half stays
     * available to a new holder that does not know what the previous one transferred.
     */
    int maxTransfer(int child) {
        return group.level() == Level.SITE ? baseUnits(child) : baseUnits(child) / 2;
    }

    /** Returns a child's units in proportion to its size. */
    int baseUnits(int child) {
        return baseUnits[child];
    }

    /**
     * Returns whether a child owns its base in an epoch: the children known to acknowledge it, including itself, have at least
     * half of all members, so that no majority can revoke the base.
     */
    boolean ownsBase(CommitmentLog log, int child, int acknowledgementEpoch) {
        int acknowledging = group.sizes().get(child);
        for (int other = 0; other < baseUnits.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgementEpoch);
            if (commitment != null && commitment.acknowledges(child)) {
                acknowledging += group.sizes().get(other);
            }
        }
        return 2 * acknowledging >= members;
    }

    /** Returns whether a child's base is revoked: children with a majority of all members are known not to acknowledge it. */
    boolean isBaseRevoked(CommitmentLog log, int child, int acknowledgementEpoch) {
        int unacknowledging = 0;
        for (int other = 0; other < baseUnits.length; other++) {
            Commitment commitment = other == child ? null : log.get(other, acknowledgementEpoch);
            if (commitment != null && !commitment.acknowledges(child)) {
                unacknowledging += group.sizes().get(other);
            }
        }
        return 2 * unacknowledging > members;
    }

    /** Returns the units that one child receives from the revoked base of another. */
    int reassignedUnits(int fromChild, int toChild) {
        return (int) ((long) baseUnits[fromChild]
                * group.sizes().get(toChild)
                / (members - group.sizes().get(fromChild)));
    }

    /**
     * Returns the units that a child has in an epoch, as far as they follow from the known commitments.
     *
     * @param acknowledgementEpoch the epoch in which the acknowledgements for this epoch were made
     * @param transferEpoch the epoch in which the transfers for this epoch were made
     * @param ownCommitment the child's own commitment of the transfer epoch, or null if unknown, in which case the maximum
     *     transfer is assumed
     */
    int units(CommitmentLog log, int child, int acknowledgementEpoch, int transferEpoch, Commitment ownCommitment) {
        long units = 0;
        if (ownsBase(log, child, acknowledgementEpoch)) {
            units += baseUnits[child] - (ownCommitment == null ? maxTransfer(child) : ownCommitment.totalTransferred());
        }
        for (int other = 0; other < baseUnits.length; other++) {
            if (other == child) {
                continue;
            }
            Commitment commitment = log.get(other, transferEpoch);
            units += commitment == null ? 0 : commitment.transfers()[child];
            units += isBaseRevoked(log, other, acknowledgementEpoch) ? reassignedUnits(other, child) : 0;
        }
        return (int) Math.max(0, units);
    }

    /**
     * Returns the units that a child transfers to each other child. The transfers of all children together bring each one to
     * its share of the weighted split: surpluses are matched with deficits, both in the order of the children's indices.
     *
     * @param weights the weight of each child, 0 for children that are not fresh
     * @param draws the random draw of each child, for {@link Split#shares}
     * @return the units by the index of the receiving child
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
        int[] transfers = new int[Places.MAX_CHILDREN];
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
