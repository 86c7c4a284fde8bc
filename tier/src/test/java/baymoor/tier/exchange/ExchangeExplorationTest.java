package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.ExchangeHarness.Delivery;
import baymoor.tier.exchange.ExchangeHarness.DeliveryPlan;
import baymoor.tier.message.Commitment;
import baymoor.tier.place.Group;
import baymoor.tier.place.Places;
import baymoor.tier.simulation.TestPlaces;
import java.util.function.Function;
import net.jqwik.api.Example;

/**
 * Explores every pattern of lost, delayed and duplicated datagrams, of blocked links and of restarts in a small tier: the shares
 * of all balancers never add up to more than the allowance.
 */
class ExchangeExplorationTest {

    private static final double ROUNDING = 1e-9;
    private static final int SETTLING_EPOCHS = 9;
    private static final int OBSERVED_EPOCHS = 9;
    /** Datagrams in an epoch of two sites with two members: four between members and two between the sites. */
    private static final int DATAGRAMS_PER_EPOCH = 6;

    private static final Places TWO_BY_TWO = TestPlaces.of(4, 2, 1, 1);
    private static final Places THREE_SITES = TestPlaces.of(3, 3, 1, 1);

    private static ExchangeHarness tier(Places places, Function<Group, ShareRules> rules, DeliveryPlan deliveryPlan) {
        ExchangeHarness tier = new ExchangeHarness(places, rules, deliveryPlan);
        tier.setMissWeight(0, 30);
        tier.setMissWeight(2, 3);
        return tier;
    }

    /** Runs a tier to its end and returns the largest total share of any epoch. */
    private static double maxTotalShare(
            ExchangeHarness tier, int restartedBalancer, int restartStep, boolean forgetsSentEpoch) {
        double max = 0;
        for (int epoch = 0; epoch < SETTLING_EPOCHS + OBSERVED_EPOCHS; epoch++) {
            tier.setMissWeight(
                    tier.balancers() - 1, epoch >= SETTLING_EPOCHS ? 40 : 0); // shifts the demand when the faults begin
            tier.runEpoch(epoch == SETTLING_EPOCHS ? restartedBalancer : -1, restartStep, forgetsSentEpoch);
            max = Math.max(max, tier.totalShare());
        }
        return max;
    }

    private static DeliveryPlan faultPattern(long pattern, int epochs, Delivery delivery) {
        int first = ExchangeHarness.FIRST_EPOCH + SETTLING_EPOCHS;
        int[] datagram = {-1};
        return (number, epoch, from, to) -> {
            if (epoch < first || epoch >= first + epochs) {
                return Delivery.DELIVERED;
            }
            datagram[0] = datagram[0] < 0 ? 0 : datagram[0] + 1;
            return datagram[0] < DATAGRAMS_PER_EPOCH * epochs && (pattern >> datagram[0] & 1) != 0
                    ? delivery
                    : Delivery.DELIVERED;
        };
    }

    private static double explore(Function<Group, ShareRules> rules, int epochs, Delivery delivery) {
        double max = 0;
        for (long pattern = 0; pattern < 1L << DATAGRAMS_PER_EPOCH * epochs; pattern++) {
            max = Math.max(
                    max, maxTotalShare(tier(TWO_BY_TWO, rules, faultPattern(pattern, epochs, delivery)), -1, 0, false));
        }
        return max;
    }

    @Example
    void totalShareStaysBoundedForEveryLossPatternInTwoEpochs() {
        int epochs = Integer.getInteger("tier.explore", 2);
        assertTrue(explore(ShareRules::new, epochs, Delivery.DROPPED) <= 1 + ROUNDING);
    }

    @Example
    void totalShareStaysBoundedForEveryPatternOfDelayedOrDuplicatedDatagrams() {
        assertTrue(explore(ShareRules::new, 1, Delivery.DELAYED) <= 1 + ROUNDING);
        assertTrue(explore(ShareRules::new, 1, Delivery.DUPLICATED) <= 1 + ROUNDING);
    }

    private static double explorePartitions(Places places, Function<Group, ShareRules> rules) {
        double max = 0;
        int balancers = places.balancers();
        for (int pattern = 0; pattern < 1 << balancers * balancers; pattern++) {
            if (Integer.bitCount(pattern) > 3) {
                continue;
            }
            int blockedLinks = pattern;
            for (int duration = 1; duration <= OBSERVED_EPOCHS; duration += 3) {
                int end = ExchangeHarness.FIRST_EPOCH + SETTLING_EPOCHS + duration;
                DeliveryPlan deliveryPlan =
                        (number, epoch, from, to) -> epoch >= ExchangeHarness.FIRST_EPOCH + SETTLING_EPOCHS
                                        && epoch < end
                                        && (blockedLinks >> from * balancers + to & 1) != 0
                                ? Delivery.DROPPED
                                : Delivery.DELIVERED;
                max = Math.max(max, maxTotalShare(tier(places, rules, deliveryPlan), -1, 0, false));
            }
        }
        return max;
    }

    @Example
    void totalShareStaysBoundedWithUpToThreeBlockedLinks() {
        assertEquals(1, Math.max(1, explorePartitions(THREE_SITES, ShareRules::new)), ROUNDING);
        assertEquals(1, Math.max(1, explorePartitions(TestPlaces.of(3, 1, 1, 1), ShareRules::new)), ROUNDING);
    }

    private static double exploreRestarts(Function<Group, ShareRules> rules, boolean forgetsSentEpoch) {
        double max = 0;
        for (int restartedBalancer = 0; restartedBalancer < 4; restartedBalancer++) {
            for (int step = 0; step < 8; step++) {
                for (long pattern = 0; pattern < 1L << DATAGRAMS_PER_EPOCH; pattern++) {
                    ExchangeHarness tier = tier(TWO_BY_TWO, rules, faultPattern(pattern, 1, Delivery.DROPPED));
                    max = Math.max(max, maxTotalShare(tier, restartedBalancer, step, forgetsSentEpoch));
                }
            }
        }
        return max;
    }

    @Example
    void totalShareStaysBoundedForEveryRestartAndLossPattern() {
        assertTrue(exploreRestarts(ShareRules::new, false) <= 1 + ROUNDING);
    }

    @Example
    void withoutFaultsAllocatesWholeAllowanceByDemand() {
        ExchangeHarness tier = tier(TWO_BY_TWO, ShareRules::new, (number, epoch, from, to) -> Delivery.DELIVERED);
        for (int epoch = 0; epoch < SETTLING_EPOCHS; epoch++) {
            tier.runEpoch(-1, 0, false);
        }
        assertEquals(1, tier.totalShare(), 1e-3);
        assertTrue(tier.share(0) > 0.5);
        assertTrue(tier.share(1) >= Exchange.GUARANTEED_FRACTION / 4);
    }

    // The exploration must detect a fault in each rule.

    @Example
    void detectsSenderThatKeepsTransferredUnits() {
        Function<Group, ShareRules> mutant = group -> new ShareRules(group) {
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
                        ownCommitment == null ? null : emptyCommitment());
            }
        };
        assertTrue(explore(mutant, 1, Delivery.DROPPED) > 1 + ROUNDING);
    }

    @Example
    void detectsRestartedProcessThatAssumesNoTransfers() {
        Function<Group, ShareRules> mutant = group -> new ShareRules(group) {
            @Override
            boolean ownsBase(CommitmentLog log, int child, int acknowledgementEpoch) {
                return true;
            }

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
                        ownCommitment == null ? emptyCommitment() : ownCommitment);
            }
        };
        assertTrue(exploreRestarts(mutant, false) > 1 + ROUNDING);
    }

    @Example
    void detectsBaseOwnershipWithoutAcknowledgements() {
        Function<Group, ShareRules> mutant = group -> new ShareRules(group) {
            @Override
            boolean ownsBase(CommitmentLog log, int child, int acknowledgementEpoch) {
                return true;
            }
        };
        assertTrue(explorePartitions(THREE_SITES, mutant) > 1 + ROUNDING);
    }

    @Example
    void detectsReassignmentWithoutMajority() {
        Function<Group, ShareRules> mutant = group -> new ShareRules(group) {
            @Override
            boolean isBaseRevoked(CommitmentLog log, int child, int acknowledgementEpoch) {
                for (int other = 0; other < group.children().size(); other++) {
                    Commitment commitment = other == child ? null : log.get(other, acknowledgementEpoch);
                    if (commitment != null && !commitment.acknowledges(child)) {
                        return true;
                    }
                }
                return false;
            }
        };
        assertTrue(explorePartitions(THREE_SITES, mutant) > 1 + ROUNDING);
    }

    private static Commitment emptyCommitment() {
        return new Commitment(0, new int[Places.MAX_CHILDREN]);
    }
}
