package baymoor.tier.message;

import baymoor.tier.place.Level;

/**
 * The one message of the exchange: what a child of a group tells its siblings once an epoch, and as holder of the group's
 * lease what is outside.
 *
 * @param level the group's level
 * @param group its number
 * @param child index of the child that is spoken for
 * @param speaker the balancer that speaks
 * @param hops how often the message has been passed on to a newer speaker
 * @param epoch the epoch in which it was made
 * @param term the highest term of the lease that the speaker knows; its own where it claims the lease
 * @param claims whether the speaker's child claims the lease
 * @param vote the child that the speaker's child votes for in this epoch
 * @param commitment what the child binds itself to in this epoch, or null
 * @param previous the same of the epoch before, once more, or null
 * @param totals figures of the child
 * @param loads what the child has out at routers
 * @param digest what the holder tells, or null
 */
public record GroupMessage(
        Level level,
        int group,
        int child,
        int speaker,
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

    /** The same without the commitment of the epoch before. */
    GroupMessage withoutPreviousCommitment() {
        return new GroupMessage(
                level, group, child, speaker, hops, epoch, term, claims, vote, commitment, null, totals, loads, digest);
    }

    /** The same without any loads. */
    GroupMessage withoutLoads() {
        Digest digestWithoutLoads = digest == null ? null : digest.withoutLoads();
        return new GroupMessage(
                level,
                group,
                child,
                speaker,
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
