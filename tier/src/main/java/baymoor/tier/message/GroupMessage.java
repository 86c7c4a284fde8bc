package baymoor.tier.message;

import baymoor.tier.place.Level;

/**
 * The message that a child of a group sends to its siblings once per epoch. It carries the child's vote, commitment and
 * totals and, if the child holds the group's lease, a digest of the tier outside the group. Immutable.
 *
 * @param level the level of the group
 * @param group the number of the group
 * @param child the index of the child on whose behalf the message is sent
 * @param representative the number of the balancer that sends on behalf of the child
 * @param hops how many times the message has been forwarded to a newer representative
 * @param epoch the epoch in which the message was created
 * @param term the highest lease term known to the representative, or the child's own term if it claims the lease
 * @param claims whether the child claims the lease
 * @param vote the index of the child that this child votes for in this epoch
 * @param commitment the child's commitment of this epoch, or null
 * @param previous the child's commitment of the previous epoch, repeated in case its message was lost, or null
 * @param totals the totals of the child
 * @param loads the child's attempts in flight at routers
 * @param digest the digest from the holder of the lease, or null
 */
public record GroupMessage(
        Level level,
        int group,
        int child,
        int representative,
        int hops,
        int epoch,
        int term,
        boolean claims,
        int vote,
        Commitment commitment,
        Commitment previous,
        Totals totals,
        LoadReport loads,
        Digest digest) {

    /** Returns a copy without the commitment of the previous epoch. */
    GroupMessage withoutPreviousCommitment() {
        return new GroupMessage(
                level,
                group,
                child,
                representative,
                hops,
                epoch,
                term,
                claims,
                vote,
                commitment,
                null,
                totals,
                loads,
                digest);
    }

    /** Returns a copy without the loads of the child and of the digest. */
    GroupMessage withoutLoads() {
        Digest digestWithoutLoads = digest == null ? null : digest.withoutLoads();
        return new GroupMessage(
                level,
                group,
                child,
                representative,
                hops,
                epoch,
                term,
                claims,
                vote,
                commitment,
                previous,
                totals,
                LoadReport.NONE,
                digestWithoutLoads);
    }
}
