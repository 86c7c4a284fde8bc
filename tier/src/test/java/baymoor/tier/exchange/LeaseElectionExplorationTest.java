package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.LeaseElection.VoteOutcome;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** Explores every pattern of lost votes over a few epochs, with one child paused: a group never has two holders that commit it. */
class LeaseElectionExplorationTest {

    private static final int FIRST_EPOCH = 10;

    /** Runs a few epochs in which each set bit loses a message; returns false if two children could act while one commits. */
    private static boolean runEpochs(
            int children, int epochs, long lostMessages, int pausedChild, Set<VoteOutcome> bindingOutcomes) {
        List<LeaseElection> elections = new ArrayList<>();
        for (int child = 0; child < children; child++) {
            elections.add(new LeaseElection(child, children));
        }
        int message = 0;
        for (int epoch = FIRST_EPOCH; epoch < FIRST_EPOCH + epochs; epoch++) {
            int[] votes = new int[children];
            boolean[] claims = new boolean[children];
            int[] term = new int[children];
            for (int child = 0; child < children; child++) {
                votes[child] = elections.get(child).castVote(epoch);
                claims[child] = elections.get(child).claimsLease(epoch);
                term[child] = elections.get(child).term(epoch);
            }
            for (int from = 0; from < children; from++) {
                for (int to = 0; to < children; to++) {
                    boolean silenced =
                            pausedChild == from && epoch > FIRST_EPOCH + 1 && epoch < FIRST_EPOCH + epochs - 1;
                    if (from != to && (lostMessages >> message++ & 1) == 0 && !silenced) {
                        elections.get(to).receive(from, epoch, votes[from], term[from], claims[from]);
                    }
                }
            }
            int bindingHolders = 0;
            int holders = 0;
            for (LeaseElection election : elections) {
                VoteOutcome outcome = election.tally(epoch);
                bindingHolders += bindingOutcomes.contains(outcome) ? 1 : 0;
                holders += outcome == VoteOutcome.NONE ? 0 : 1;
            }
            // While one child may commit the group, no other one may act for it.
            if (bindingHolders > 0 && holders > 1) {
                return false;
            }
        }
        return true;
    }

    private static boolean explore(int children, int epochs, Set<VoteOutcome> bindingOutcomes) {
        int messages = children * (children - 1) * epochs;
        for (int pausedChild = -1; pausedChild < children; pausedChild++) {
            for (long lostMessages = 0; lostMessages < 1L << messages; lostMessages++) {
                if (!runEpochs(children, epochs, lostMessages, pausedChild, bindingOutcomes)) {
                    return false;
                }
            }
        }
        return true;
    }

    @Example
    void atMostOneHolderMayBindGroup() {
        assertTrue(explore(2, 7, EnumSet.of(VoteOutcome.MAJORITY)));
        assertTrue(explore(3, 3, EnumSet.of(VoteOutcome.MAJORITY)));
    }

    @Example
    void detectsTwoHoldersWhenHalfOfVotesMayBind() {
        assertFalse(explore(2, 7, EnumSet.of(VoteOutcome.MAJORITY, VoteOutcome.HALF)));
    }

    private static void exchangeVotes(List<LeaseElection> elections, int epoch, int silentChild) {
        int[] votes = new int[elections.size()];
        for (int child = 0; child < votes.length; child++) {
            votes[child] = child == silentChild ? -1 : elections.get(child).castVote(epoch);
        }
        for (int from = 0; from < votes.length; from++) {
            LeaseElection sender = elections.get(from);
            for (int to = 0; to < votes.length; to++) {
                if (from != to && from != silentChild && to != silentChild) {
                    elections.get(to).receive(from, epoch, votes[from], sender.term(epoch), sender.claimsLease(epoch));
                }
            }
        }
    }

    private static List<LeaseElection> createElections(int children) {
        List<LeaseElection> elections = new ArrayList<>();
        for (int child = 0; child < children; child++) {
            elections.add(new LeaseElection(child, children));
        }
        return elections;
    }

    private static void tallyVotes(List<LeaseElection> elections, int epoch, int silentChild) {
        for (int child = 0; child < elections.size(); child++) {
            if (child != silentChild) {
                elections.get(child).tally(epoch);
            }
        }
    }

    @Example
    void lostHolderIsReplacedInSecondEpochAndItsTermIsStale() {
        List<LeaseElection> elections = createElections(5);
        int epoch = FIRST_EPOCH;
        for (; epoch < FIRST_EPOCH + 5; epoch++) {
            exchangeVotes(elections, epoch, -1);
            tallyVotes(elections, epoch, -1);
        }
        assertEquals(0, elections.get(3).holder(epoch - 1));
        int oldTerm = elections.get(0).term(epoch - 1);
        // The holder is paused from here on.
        for (int pausedEpoch = 0; pausedEpoch < 2; pausedEpoch++, epoch++) {
            exchangeVotes(elections, epoch, 0);
            tallyVotes(elections, epoch, 0);
        }
        assertEquals(VoteOutcome.MAJORITY, elections.get(1).tally(epoch - 1));
        assertEquals(oldTerm + 1, elections.get(1).term(epoch - 1));
        for (int pausedEpoch = 0; pausedEpoch < 3; pausedEpoch++, epoch++) {
            exchangeVotes(elections, epoch, 0);
            tallyVotes(elections, epoch, 0);
        }
        // It resumes: its own vote does not suffice, and once it receives the new term it votes for that holder.
        exchangeVotes(elections, epoch, 0);
        tallyVotes(elections, epoch, 0);
        elections.get(0).castVote(epoch);
        assertEquals(VoteOutcome.NONE, elections.get(0).tally(epoch));
        assertTrue(elections.get(1).isStaleTerm(oldTerm));
        epoch++;
        exchangeVotes(elections, epoch, -1);
        tallyVotes(elections, epoch, -1);
        epoch++;
        assertEquals(1, elections.get(0).castVote(epoch));
        assertEquals(1, elections.get(4).holder(epoch));
    }

    @Example
    void conflictingClaimsAreCountedAndHighestTermWins() {
        LeaseElection election = new LeaseElection(2, 5);
        election.receive(0, FIRST_EPOCH, 0, 3, true);
        election.receive(1, FIRST_EPOCH, 1, 4, true);
        assertEquals(1, election.castVote(FIRST_EPOCH));
        assertEquals(1, election.conflictingClaims());
        assertTrue(election.isStaleTerm(3));
    }
}
