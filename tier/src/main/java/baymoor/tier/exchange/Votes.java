package baymoor.tier.exchange;

import java.util.Arrays;

/**
 * The lease of a group, as one child sees it. Each child votes once in an epoch; who has half of the votes may read for the
 * group in that epoch, who has more than half may also bind it. The term tells the newer of two who claim it.
 */
final class Votes {

    /** What an epoch's votes allow. */
    enum Standing {
        /** Not the holder. */
        NONE,
        /** Exactly half: nobody else can have more than half, and neither can this one bind the group. */
        HALF,
        /** More than half. */
        MAJORITY
    }

    private static final int NEVER = Integer.MIN_VALUE / 2;

    private final int me;
    private final int[] heardEpoch;
    private final int[] voteEpoch;
    private final int[] vote;
    private final int[] claimedTerm;
    private final int patience;
    private int myTerm;
    private int highestTerm;
    private int lastHeld = NEVER;
    private int secondHolders;

    Votes(int me, int children) {
        this.me = me;
        heardEpoch = filled(children, NEVER);
        voteEpoch = filled(children, NEVER);
        vote = new int[children];
        claimedTerm = new int[children];
        // Of two, one lost message would make two holders; of more, it costs one vote.
        patience = children > 2 ? 1 : 2;
    }

    private static int[] filled(int length, int value) {
        int[] array = new int[length];
        Arrays.fill(array, value);
        return array;
    }

    /** Takes a sibling's vote. */
    void hear(int child, int epoch, int votedFor, int term, boolean claims) {
        if (epoch <= heardEpoch[child]) {
            return;
        }
        heardEpoch[child] = epoch;
        voteEpoch[child] = epoch;
        vote[child] = votedFor;
        claimedTerm[child] = claims ? term : 0;
        highestTerm = Math.max(highestTerm, term);
    }

    /** Votes in an epoch: for the claimant with the highest term, else for the lowest child that is heard. */
    int cast(int epoch) {
        int best = -1;
        int claimants = 0;
        for (int child = 0; child < vote.length; child++) {
            if (term(child, epoch) > 0) {
                claimants++;
                best = best < 0 || term(child, epoch) > term(best, epoch) ? child : best;
            }
        }
        secondHolders += claimants > 1 ? 1 : 0;
        for (int child = 0; child < vote.length && best < 0; child++) {
            best = heard(child, epoch) ? child : best;
        }
        heardEpoch[me] = epoch;
        voteEpoch[me] = epoch;
        vote[me] = best;
        return best;
    }

    private boolean heard(int child, int epoch) {
        return child == me || heardEpoch[child] >= epoch - patience;
    }

    private int term(int child, int epoch) {
        if (child == me) {
            return claims(epoch) ? myTerm : 0;
        }
        return heard(child, epoch) ? claimedTerm[child] : 0;
    }

    /** Counts the votes of an epoch, the own one included; a new holder takes a new term. */
    Standing count(int epoch) {
        int votes = 0;
        for (int child = 0; child < vote.length; child++) {
            votes += voteEpoch[child] == epoch && vote[child] == me ? 1 : 0;
        }
        if (2 * votes < vote.length || vote[me] != me) {
            return Standing.NONE;
        }
        if (!claims(epoch)) {
            myTerm = highestTerm + 1;
            highestTerm = myTerm;
        }
        lastHeld = epoch;
        return 2 * votes > vote.length ? Standing.MAJORITY : Standing.HALF;
    }

    /** Whether this child claims the lease. */
    boolean claims(int epoch) {
        return lastHeld >= epoch - patience;
    }

    /** The term to tell. */
    int term(int epoch) {
        return claims(epoch) ? myTerm : highestTerm;
    }

    /** The child that holds the lease as far as is known, or -1. */
    int holder(int epoch) {
        int best = -1;
        for (int child = 0; child < vote.length; child++) {
            if (term(child, epoch) > 0 && (best < 0 || term(child, epoch) > term(best, epoch))) {
                best = child;
            }
        }
        return best;
    }

    /** Whether a sibling's claim has been overtaken by a newer term. */
    boolean outdated(int term) {
        return term < highestTerm;
    }

    /** How often two claims were seen at once. */
    int secondHolders() {
        return secondHolders;
    }
}
