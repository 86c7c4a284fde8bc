package baymoor.tier.exchange;

import java.util.Arrays;

/**
 * Elects the holder of a group's lease, from the view of one child. Each child votes once per epoch. A child with at least half
 * of the votes may act for the group in that epoch; only one with a majority may make commitments for it. Of two claims, the one
 * with the higher term is the newer. Not thread-safe.
 */
final class LeaseElection {

    /** What the votes of an epoch permit a child to do. */
    enum VoteOutcome {
        /** Less than half of the votes, or not the child's own vote: not the holder. */
        NONE,
        /** Exactly half of the votes: no other child can have a majority, and this one can't commit the group. */
        HALF,
        /** More than half of the votes: the child may commit the group. */
        MAJORITY
    }

    private static final int NEVER = Integer.MIN_VALUE / 2;

    private final int self;
    private final int[] lastHeardEpochs;
    private final int[] voteEpochs;
    private final int[] votes;
    private final int[] claimedTerms;
    private final int toleratedSilence;
    private int ownTerm;
    private int highestTerm;
    private int lastHeldEpoch = NEVER;
    private int conflictingClaims;

    LeaseElection(int self, int children) {
        this.self = self;
        lastHeardEpochs = filledArray(children, NEVER);
        voteEpochs = filledArray(children, NEVER);
        votes = new int[children];
        claimedTerms = new int[children];
        // In a group of two, losing a single message would otherwise create a second holder.
        toleratedSilence = children > 2 ? 1 : 2;
    }

    private static int[] filledArray(int length, int value) {
        int[] array = new int[length];
        Arrays.fill(array, value);
        return array;
    }

    /** Processes a sibling's vote; one that is older than the last, or repeats it, is ignored. */
    void receive(int child, int epoch, int votedFor, int term, boolean claims) {
        if (epoch <= lastHeardEpochs[child]) {
            return;
        }
        lastHeardEpochs[child] = epoch;
        voteEpochs[child] = epoch;
        votes[child] = votedFor;
        claimedTerms[child] = claims ? term : 0;
        highestTerm = Math.max(highestTerm, term);
    }

    /** Votes in an epoch for the claimant with the highest term, or without a claimant for the lowest live child. */
    int castVote(int epoch) {
        int best = -1;
        int claimants = 0;
        for (int child = 0; child < votes.length; child++) {
            if (activeTerm(child, epoch) > 0) {
                claimants++;
                best = best < 0 || activeTerm(child, epoch) > activeTerm(best, epoch) ? child : best;
            }
        }
        conflictingClaims += claimants > 1 ? 1 : 0;
        for (int child = 0; child < votes.length && best < 0; child++) {
            best = isFresh(child, epoch) ? child : best;
        }
        lastHeardEpochs[self] = epoch;
        voteEpochs[self] = epoch;
        votes[self] = best;
        return best;
    }

    private boolean isFresh(int child, int epoch) {
        return child == self || lastHeardEpochs[child] >= epoch - toleratedSilence;
    }

    private int activeTerm(int child, int epoch) {
        if (child == self) {
            return claimsLease(epoch) ? ownTerm : 0;
        }
        return isFresh(child, epoch) ? claimedTerms[child] : 0;
    }

    /** Tallies the votes of an epoch, including this child's own. A new holder starts a new term. */
    VoteOutcome tally(int epoch) {
        int ownVotes = 0;
        for (int child = 0; child < votes.length; child++) {
            ownVotes += voteEpochs[child] == epoch && votes[child] == self ? 1 : 0;
        }
        if (2 * ownVotes < votes.length || votes[self] != self) {
            return VoteOutcome.NONE;
        }
        if (!claimsLease(epoch)) {
            ownTerm = highestTerm + 1;
            highestTerm = ownTerm;
        }
        lastHeldEpoch = epoch;
        return 2 * ownVotes > votes.length ? VoteOutcome.MAJORITY : VoteOutcome.HALF;
    }

    /** Returns whether this child claims the lease: it held the lease within the tolerated number of silent epochs. */
    boolean claimsLease(int epoch) {
        return lastHeldEpoch >= epoch - toleratedSilence;
    }

    /** Returns the term to send: its own if this child claims the lease, otherwise the highest one known. */
    int term(int epoch) {
        return claimsLease(epoch) ? ownTerm : highestTerm;
    }

    /** Returns the live child that claims the lease with the highest term, or -1 if there is none. */
    int holder(int epoch) {
        int best = -1;
        for (int child = 0; child < votes.length; child++) {
            if (activeTerm(child, epoch) > 0 && (best < 0 || activeTerm(child, epoch) > activeTerm(best, epoch))) {
                best = child;
            }
        }
        return best;
    }

    /** Returns whether a newer term than the given one is known. */
    boolean isStaleTerm(int term) {
        return term < highestTerm;
    }

    /** Returns the number of votes cast while more than one child claimed the lease. */
    int conflictingClaims() {
        return conflictingClaims;
    }
}
