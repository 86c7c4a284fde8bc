package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.Votes.Standing;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;

/** The lease, explored: every pattern of lost votes over some epochs, with a child that stands still and wakes. */
class VotesExplorationTest {

    private static final int FIRST = 10;

    /** Plays some epochs with a message lost for each bit that is set; false where two could bind the group at once. */
    private static boolean play(int children, int epochs, long lost, int stalled, Set<Standing> mayBind) {
        List<Votes> all = new ArrayList<>();
        for (int child = 0; child < children; child++) {
            all.add(new Votes(child, children));
        }
        int message = 0;
        for (int epoch = FIRST; epoch < FIRST + epochs; epoch++) {
            int[] vote = new int[children];
            boolean[] claims = new boolean[children];
            int[] term = new int[children];
            for (int child = 0; child < children; child++) {
                vote[child] = all.get(child).cast(epoch);
                claims[child] = all.get(child).claims(epoch);
                term[child] = all.get(child).term(epoch);
            }
            for (int from = 0; from < children; from++) {
                for (int to = 0; to < children; to++) {
                    boolean still = stalled == from && epoch > FIRST + 1 && epoch < FIRST + epochs - 1;
                    if (from != to && (lost >> message++ & 1) == 0 && !still) {
                        all.get(to).hear(from, epoch, vote[from], term[from], claims[from]);
                    }
                }
            }
            int binding = 0;
            int reading = 0;
            for (Votes votes : all) {
                Standing standing = votes.count(epoch);
                binding += mayBind.contains(standing) ? 1 : 0;
                reading += standing == Standing.NONE ? 0 : 1;
            }
            // Who may bind the group must be alone, also among those that read for it.
            if (binding > 0 && reading > 1) {
                return false;
            }
        }
        return true;
    }

    private static boolean explore(int children, int epochs, Set<Standing> mayBind) {
        int messages = children * (children - 1) * epochs;
        for (int stalled = -1; stalled < children; stalled++) {
            for (long lost = 0; lost < 1L << messages; lost++) {
                if (!play(children, epochs, lost, stalled, mayBind)) {
                    return false;
                }
            }
        }
        return true;
    }

    @Example
    void onlyOneEverBindsAGroupOfTwoOrThree() {
        assertTrue(explore(2, 7, EnumSet.of(Standing.MAJORITY)));
        assertTrue(explore(3, 3, EnumSet.of(Standing.MAJORITY)));
    }

    @Example
    void letHalfOfTheVotesBindAndTwoDo() {
        assertFalse(explore(2, 7, EnumSet.of(Standing.MAJORITY, Standing.HALF)));
    }

    private static void all(List<Votes> votes, int epoch, int silent) {
        int[] cast = new int[votes.size()];
        for (int child = 0; child < cast.length; child++) {
            cast[child] = child == silent ? -1 : votes.get(child).cast(epoch);
        }
        for (int from = 0; from < cast.length; from++) {
            Votes sender = votes.get(from);
            for (int to = 0; to < cast.length; to++) {
                if (from != to && from != silent && to != silent) {
                    votes.get(to).hear(from, epoch, cast[from], sender.term(epoch), sender.claims(epoch));
                }
            }
        }
    }

    private static List<Votes> group(int children) {
        List<Votes> votes = new ArrayList<>();
        for (int child = 0; child < children; child++) {
            votes.add(new Votes(child, children));
        }
        return votes;
    }

    private static void count(List<Votes> votes, int epoch, int silent) {
        for (int child = 0; child < votes.size(); child++) {
            if (child != silent) {
                votes.get(child).count(epoch);
            }
        }
    }

    @Example
    void aLostHolderIsFollowedInTheSecondEpochAndItsOldTermNoLongerCounts() {
        List<Votes> votes = group(5);
        int epoch = FIRST;
        for (; epoch < FIRST + 5; epoch++) {
            all(votes, epoch, -1);
            count(votes, epoch, -1);
        }
        assertEquals(0, votes.get(3).holder(epoch - 1));
        int oldTerm = votes.get(0).term(epoch - 1);
        // The holder stands still after this.
        for (int still = 0; still < 2; still++, epoch++) {
            all(votes, epoch, 0);
            count(votes, epoch, 0);
        }
        assertEquals(Standing.MAJORITY, votes.get(1).count(epoch - 1));
        assertEquals(oldTerm + 1, votes.get(1).term(epoch - 1));
        for (int more = 0; more < 3; more++, epoch++) {
            all(votes, epoch, 0);
            count(votes, epoch, 0);
        }
        // It wakes: its own vote alone is no lease, and when it hears the new term it votes for that one.
        all(votes, epoch, 0);
        count(votes, epoch, 0);
        votes.get(0).cast(epoch);
        assertEquals(Standing.NONE, votes.get(0).count(epoch));
        assertTrue(votes.get(1).outdated(oldTerm));
        epoch++;
        all(votes, epoch, -1);
        count(votes, epoch, -1);
        epoch++;
        assertEquals(1, votes.get(0).cast(epoch));
        assertEquals(1, votes.get(4).holder(epoch));
    }

    @Example
    void twoThatClaimAreNoticedAndTheHigherTermIsTaken() {
        Votes votes = new Votes(2, 5);
        votes.hear(0, FIRST, 0, 3, true);
        votes.hear(1, FIRST, 1, 4, true);
        assertEquals(1, votes.cast(FIRST));
        assertEquals(1, votes.secondHolders());
        assertTrue(votes.outdated(3));
    }
}
