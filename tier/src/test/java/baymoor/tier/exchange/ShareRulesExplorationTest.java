package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import baymoor.tier.message.Commitment;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import baymoor.tier.split.Split;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiFunction;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Explores all combinations of acknowledgements, transfers and partial knowledge for a small number of units: the children's
 * units never exceed the total. The same exploration must detect a fault seeded into each rule.
 */
class ShareRulesExplorationTest {

    private static final String SEED = "4715";
    private static final int ACKNOWLEDGEMENT_EPOCH = 1;
    private static final int TRANSFER_EPOCH = 2;

    private interface RulesFactory extends BiFunction<Group, Integer, ShareRules> {}

    private static Group group(int... sizes) {
        return group(Level.SITE, sizes);
    }

    private static Group group(Level level, int... sizes) {
        List<Integer> children = new ArrayList<>();
        List<Integer> sizeList = new ArrayList<>();
        for (int size : sizes) {
            children.add(children.size());
            sizeList.add(size);
        }
        return new Group(level, 0, "z", children, sizeList);
    }

    /** Returns every way to transfer up to {@code maxTotal} units to the other children. */
    private static List<int[]> transferChoices(int self, int children, int maxTotal) {
        List<int[]> all = new ArrayList<>();
        all.add(new int[Places.MAX_CHILDREN]);
        for (int to = 0; to < children; to++) {
            if (to == self) {
                continue;
            }
            List<int[]> extended = new ArrayList<>();
            for (int[] partial : all) {
                for (int units = 1; units + Arrays.stream(partial).sum() <= maxTotal; units++) {
                    int[] next = partial.clone();
                    next[to] = units;
                    extended.add(next);
                }
            }
            all.addAll(extended);
        }
        return all;
    }

    private static Commitment acknowledging(int bits) {
        return new Commitment(bits, new int[Places.MAX_CHILDREN]);
    }

    /**
     * Returns a child's log of acknowledgements: its own and those that it knows of.
     *
     * @param acknowledgements the acknowledgements of all children, {@code children} bits each
     * @param known for each child, the bits of the children whose acknowledgements it knows
     */
    private static CommitmentLog knownCommitments(int children, int acknowledgements, int known, int child) {
        CommitmentLog log = new CommitmentLog(children);
        for (int other = 0; other < children; other++) {
            if (other == child || (known >> child * children + other & 1) != 0) {
                log.put(other, ACKNOWLEDGEMENT_EPOCH, acknowledging(acknowledgements >> other * children));
            }
        }
        return log;
    }

    /** Returns the distinct outcomes, as the units of all children, or null if one of them exceeds the total. */
    private static Set<List<Integer>> explore(RulesFactory factory, int totalUnits, int... sizes) {
        return explore(factory, totalUnits, group(sizes));
    }

    private static Set<List<Integer>> explore(RulesFactory factory, int totalUnits, Group group) {
        int[] sizes = group.sizes().stream().mapToInt(Integer::intValue).toArray();
        int n = sizes.length;
        ShareRules rules = factory.apply(group, totalUnits);
        Set<List<Integer>> results = new HashSet<>();
        Set<String> explored = new HashSet<>();
        for (int acknowledged = 0; acknowledged < 1 << n * n; acknowledged++) {
            if (!hasNoSelfBits(acknowledged, n)) {
                continue;
            }
            for (int known = 0; known < 1 << n * n; known++) {
                if (!hasNoSelfBits(known, n)) {
                    continue;
                }
                String owners = owners(rules, n, acknowledged, known);
                // What is known when transfers are made matters only for which children own their base.
                if (explored.add(acknowledged + owners)
                        && !explore(rules, n, acknowledged, owners, totalUnits, results)) {
                    return null;
                }
            }
        }
        return results;
    }

    /** Returns whether no child has a bit for itself; such bits have no effect. */
    private static boolean hasNoSelfBits(int bits, int n) {
        for (int child = 0; child < n; child++) {
            if ((bits >> child * n + child & 1) != 0) {
                return false;
            }
        }
        return true;
    }

    private static String owners(ShareRules rules, int n, int acknowledged, int known) {
        StringBuilder owners = new StringBuilder();
        for (int child = 0; child < n; child++) {
            owners.append(
                    rules.ownsBase(knownCommitments(n, acknowledged, known, child), child, ACKNOWLEDGEMENT_EPOCH)
                            ? '1'
                            : '0');
        }
        return owners.toString();
    }

    private static boolean explore(
            ShareRules rules, int n, int acknowledged, String owners, int totalUnits, Set<List<Integer>> results) {
        List<List<int[]>> choices = new ArrayList<>();
        for (int child = 0; child < n; child++) {
            choices.add(transferChoices(child, n, owners.charAt(child) == '1' ? rules.maxTransfer(child) : 0));
        }
        int[] choiceIndexes = new int[n];
        while (true) {
            int[][] transfers = new int[n][];
            for (int child = 0; child < n; child++) {
                transfers[child] = choices.get(child).get(choiceIndexes[child]);
            }
            // Each child's transfers are known to all others or to none, and it may have forgotten them itself.
            for (int heardBits = 0; heardBits < 1 << 2 * n; heardBits++) {
                List<Integer> units =
                        units(rules, n, acknowledged, transfers, heardBits & (1 << n) - 1, heardBits >> n);
                if (units.stream().mapToInt(Integer::intValue).sum() > totalUnits) {
                    return false;
                }
                results.add(units);
            }
            int digit = 0;
            while (digit < n && ++choiceIndexes[digit] == choices.get(digit).size()) {
                choiceIndexes[digit++] = 0;
            }
            if (digit == n) {
                return true;
            }
        }
    }

    private static List<Integer> units(
            ShareRules rules, int n, int acknowledged, int[][] transfers, int heardBits, int forgottenBits) {
        Integer[] units = new Integer[n];
        for (int child = 0; child < n; child++) {
            CommitmentLog log = knownCommitments(n, acknowledged, -1, child);
            for (int other = 0; other < n; other++) {
                if (other != child && (heardBits >> other & 1) != 0) {
                    log.put(other, TRANSFER_EPOCH, new Commitment(0, transfers[other]));
                }
            }
            Commitment ownCommitment = (forgottenBits >> child & 1) != 0 ? null : new Commitment(0, transfers[child]);
            units[child] = rules.units(log, child, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, ownCommitment);
        }
        return List.of(units);
    }

    @Example
    void twoGroupsOfTwoMembersNeverExceedAllowance() {
        int totalUnits = 9;
        Set<List<Integer>> groups = explore(ShareRules::new, totalUnits, group(Level.ZONE, 2, 2));
        Set<List<Integer>> members = explore(ShareRules::new, totalUnits, 1, 1);
        assertTrue(groups.size() > 10 && members.size() > 10);
        for (List<Integer> group : groups) {
            members.forEach(first -> members.forEach(
                    second -> assertTrue(combinedUnits(group, first, second) <= totalUnits * totalUnits)));
        }
    }

    /** Returns the sum of what all members of two groups have: each group's units times each member's. */
    private static int combinedUnits(List<Integer> groups, List<Integer> first, List<Integer> second) {
        int sum = 0;
        for (int member = 0; member < first.size(); member++) {
            sum += groups.get(0) * first.get(member) + groups.get(1) * second.get(member);
        }
        return sum;
    }

    @Example
    void threeChildrenNeverExceedTotalUnits() {
        for (int[] sizes : new int[][] {{1, 1, 1}, {2, 1, 1}, {3, 1, 1}}) {
            assertTrue(Arrays.toString(sizes), explore(ShareRules::new, 7, sizes) != null);
            assertTrue(Arrays.toString(sizes), explore(ShareRules::new, 7, group(Level.ZONE, sizes)) != null);
        }
    }

    @Example
    void withoutTransfersEachAcknowledgedChildHasItsBaseUnits() {
        ShareRules rules = new ShareRules(group(1, 1, 1));
        CommitmentLog log = new CommitmentLog(3);
        for (int child = 0; child < 3; child++) {
            log.put(child, ACKNOWLEDGEMENT_EPOCH, acknowledging(7));
        }
        assertEquals(rules.baseUnits(1), rules.units(log, 1, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, acknowledging(0)));
        assertEquals(
                "a child that lost its own commitment assumes the maximum transfer",
                0,
                rules.units(log, 1, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, null));
    }

    @Example
    void majorityTakesBaseUnitsOfUnheardChild() {
        ShareRules rules = new ShareRules(group(1, 1, 1), 10);
        CommitmentLog log = new CommitmentLog(3);
        log.put(0, ACKNOWLEDGEMENT_EPOCH, acknowledging(0b011));
        log.put(1, ACKNOWLEDGEMENT_EPOCH, acknowledging(0b011));
        log.put(2, ACKNOWLEDGEMENT_EPOCH, acknowledging(0b100));
        Commitment noTransfers = acknowledging(0);
        assertEquals(4, rules.units(log, 0, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, noTransfers));
        assertEquals(4, rules.units(log, 1, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, noTransfers));
        assertEquals(0, rules.units(log, 2, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, noTransfers));
    }

    /** With complete knowledge the units equal the weighted split, including the removal of the surplus by draws. */
    @Property(seed = SEED, tries = 400)
    void withFullConnectivityUnitsEqualWeightedSplit(
            @ForAll @IntRange(min = 1, max = 16) int children, @ForAll long seed) {
        Random random = new Random(seed);
        int[] sizes = random.ints(children, 1, 14).toArray();
        ShareRules rules = new ShareRules(group(sizes));
        double[] weights = random.doubles(children, 0.1, 10).toArray();
        int[] draws = random.ints(children, 0, 4).toArray();
        CommitmentLog log = new CommitmentLog(children);
        long total = 0;
        for (int child = 0; child < children; child++) {
            log.put(child, ACKNOWLEDGEMENT_EPOCH, acknowledging(0xffff));
            log.put(child, TRANSFER_EPOCH, new Commitment(0, rules.transfers(child, weights, draws)));
            total += rules.baseUnits(child);
        }
        long[] split = Split.shares(total, weights, draws);
        for (int child = 0; child < children; child++) {
            assertEquals(
                    split[child],
                    rules.units(log, child, ACKNOWLEDGEMENT_EPOCH, TRANSFER_EPOCH, log.get(child, TRANSFER_EPOCH)));
        }
    }

    /** Rules with a fault in one of them. */
    private static class Mutant extends ShareRules {
        Mutant(Group group, int totalUnits) {
            super(group, totalUnits);
        }
    }

    @Example
    void detectsBaseOwnershipWithoutAcknowledgements() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            boolean ownsBase(CommitmentLog log, int child, int epoch) {
                return true;
            }
        };
        assertNull(explore(mutant, 7, 1, 1, 1));
    }

    @Example
    void detectsRevocationWithoutMajority() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            boolean isBaseRevoked(CommitmentLog log, int child, int epoch) {
                for (int other = 0; other < group.children().size(); other++) {
                    Commitment commitment = other == child ? null : log.get(other, epoch);
                    if (commitment != null && !commitment.acknowledges(child)) {
                        return true; // one child suffices
                    }
                }
                return false;
            }
        };
        assertNull(explore(mutant, 7, 1, 1, 1));
        assertNull(explore(mutant, 5, 2, 2));
    }

    @Example
    void detectsForgottenTransfersCountedAsNone() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            int units(
                    CommitmentLog log,
                    int child,
                    int acknowledgementEpoch,
                    int transferEpoch,
                    Commitment ownCommitment) {
                return super.units(
                        log,
                        child,
                        acknowledgementEpoch,
                        transferEpoch,
                        ownCommitment == null ? acknowledging(0) : ownCommitment);
            }
        };
        assertNull(explore(mutant, 5, 2, 2));
        assertNull(explore(mutant, 9, group(Level.ZONE, 2, 2)));
    }

    @Example
    void detectsInconsistentTransferLimit() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            int maxTransfer(int child) {
                return baseUnits(child) / 2 + (computingUnits ? 0 : 1);
            }

            private boolean computingUnits;

            @Override
            int units(
                    CommitmentLog log,
                    int child,
                    int acknowledgementEpoch,
                    int transferEpoch,
                    Commitment ownCommitment) {
                computingUnits = true; // assumes a lower limit than the one that transfers obey
                int units = super.units(log, child, acknowledgementEpoch, transferEpoch, ownCommitment);
                computingUnits = false;
                return units;
            }
        };
        assertNull(explore(mutant, 9, group(Level.ZONE, 2, 2)));
    }

    @Example
    void detectsReassignmentOfWholeBaseToEachSibling() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            int reassignedUnits(int fromChild, int toChild) {
                return baseUnits(fromChild);
            }
        };
        assertNull(explore(mutant, 7, 1, 1, 1));
    }

    @Example
    void detectsBaseUnitsRoundedUp() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            int baseUnits(int child) {
                return super.baseUnits(child) + 1; // rounded up
            }

            @Override
            int units(
                    CommitmentLog log,
                    int child,
                    int acknowledgementEpoch,
                    int transferEpoch,
                    Commitment ownCommitment) {
                return super.units(log, child, acknowledgementEpoch, transferEpoch, ownCommitment) + 1;
            }
        };
        assertNull(explore(mutant, 5, 2, 2));
    }

    @Example
    void detectsSenderThatKeepsTransferredUnits() {
        RulesFactory mutant = (group, totalUnits) -> new Mutant(group, totalUnits) {
            @Override
            int units(
                    CommitmentLog log,
                    int child,
                    int acknowledgementEpoch,
                    int transferEpoch,
                    Commitment ownCommitment) {
                return super.units(
                        log, child, acknowledgementEpoch, transferEpoch, acknowledging(0)); // ignores its own transfers
            }
        };
        assertNull(explore(mutant, 5, 2, 2));
    }

    @Example
    void splitRemovesSurplusOfCeilings() {
        double[] weights = {1, 1, 1};
        long sum = 0;
        for (double weight : weights) {
            sum += (long) Math.ceil(10 * weight / 3);
        }
        assertTrue(sum > 10);
        assertEquals(10, Arrays.stream(Split.shares(10, weights, new int[3])).sum());
    }
}
