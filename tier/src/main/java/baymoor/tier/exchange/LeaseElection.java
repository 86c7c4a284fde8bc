package baymoor.tier.exchange;

import java.util.Arrays;

/**
 * The lease of a group, as one child sees it. Each child votes once in an epoch; who has half of the votes may read for the
 * group in that epoch, who has more than half may also bind it. The term tells the newer of two who claim it.
 */
final class LeaseElection {

    /** What an epoch's votes allow. */
    enum VoteOutcome {
        /** Not the holder. */
        NONE,
        /** Exactly half: nobody else can have more than half, and neither can this one bind the group. */
        HALF,
        /** More than half. */
        MAJORITY
    }

    private static final int NEVER = Integer.MIN_VALUE / 2;

    private final int self;
    private final int[] lastHeardEpoch;
    private final int[] voteEpoch;
    private final int[] vote;
    private final int[] claimedTerm;
    private final int toleratedSilence;
    private int ownTerm;
    private int highestTerm;
    private int lastHeldEpoch = NEVER;
    private int conflictingClaims;

    LeaseElection(int self, int children) {
        this.self = self;
        lastHeardEpoch = filled(children, NEVER);
        voteEpoch = filled(children, NEVER);
        vote = new int[children];
        claimedTerm = new int[children];
        // Of two, one lost message would make two holders; of more, it costs one vote.
        toleratedSilence = children > 2 ? 1 : 2;
    }

    private static int[] filled(int length, int value) {
        int[] array = new int[length];
        Arrays.fill(array, value);
        return array;
    }

    /** Takes a sibling's vote. */
    void receive(int child, int epoch, int votedFor, int term, boolean claims) {
        if (epoch <= lastHeardEpoch[child]) {
            return;
        }
        lastHeardEpoch[child] = epoch;
        voteEpoch[child] = epoch;
        vote[child] = votedFor;
        claimedTerm[child] = claims ? term : 0;
        highestTerm = Math.max(highestTerm, term);
    }

    /** Votes in an epoch: for the claimant with the highest term, else for the lowest child that is heard. */
    int castVote(int epoch) {
        int best = -1;
        int claimants = 0;
        for (int child = 0; child < vote.length; child++) {
            if (activeTerm(child, epoch) > 0) {
                claimants++;
                best = best < 0 || activeTerm(child, epoch) > activeTerm(best, epoch) ? child : best;
            }
        }
        conflictingClaims += claimants > 1 ? 1 : 0;
        for (int child = 0; child < vote.length && best < 0; child++) {
            best = isFresh(child, epoch) ? child : best;
        }
        lastHeardEpoch[self] = epoch;
        voteEpoch[self] = epoch;
        vote[self] = best;
        return best;
    }

    private boolean isFresh(int child, int epoch) {
        return child == self || lastHeardEpoch[child] >= epoch - toleratedSilence;
    }

    private int activeTerm(int child, int epoch) {
        if (child == self) {
            return claimsLease(epoch) ? ownTerm : 0;
        }
        return isFresh(child, epoch) ? claimedTerm[child] : 0;
    }

    /** Counts the votes of an epoch, the own one included; a new holder takes a new term. */
    VoteOutcome tally(int epoch) {
        int ownVotes = 0;
        for (int child = 0; child < vote.length; child++) {
            ownVotes += voteEpoch[child] == epoch && vote[child] == self ? 1 : 0;
        }
        if (2 * ownVotes < vote.length || vote[self] != self) {
            return VoteOutcome.NONE;
        }
        if (!claimsLease(epoch)) {
            ownTerm = highestTerm + 1;
            highestTerm = ownTerm;
        }
        lastHeldEpoch = epoch;
        return 2 * ownVotes > vote.length ? VoteOutcome.MAJORITY : VoteOutcome.HALF;
    }

    /** Whether this child claims the lease. */
    boolean claimsLease(int epoch) {
        return lastHeldEpoch >= epoch - toleratedSilence;
    }

    /** The term to tell. */
    int term(int epoch) {
        return claimsLease(epoch) ? ownTerm : highestTerm;
    }

    /** The child that holds the lease as far as is known, or -1. */
    int holder(int epoch) {
        int best = -1;
        for (int child = 0; child < vote.length; child++) {
            if (activeTerm(child, epoch) > 0 && (best < 0 || activeTerm(child, epoch) > activeTerm(best, epoch))) {
                best = child;
            }
        }
        return best;
    }

    /** Whether a sibling's claim has been overtaken by a newer term. */
    boolean isStaleTerm(int term) {
        return term < highestTerm;
    }

    /** How often two claims were seen at once. */
    int conflictingClaims() {
        return conflictingClaims;
    }
}
