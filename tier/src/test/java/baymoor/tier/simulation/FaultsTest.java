package baymoor.tier.simulation;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import baymoor.tier.exchange.Exchange;
import baymoor.tier.exchange.Timing;
import baymoor.tier.message.MessageCodec;
import baymoor.tier.message.PreviousVersion;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.Random;
import java.util.function.IntPredicate;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Whole tiers in virtual time under every fault that the operators name. */
class FaultsTest {

    private static final String SEED = "4716";
    private static final long STEP = 50_000;
    private static final long SECOND = GroupTier.SECOND;
    private static final int SETTLED_SECONDS = 14;
    /** Units are whole, so that a little of the whole stays unused; none may be added. */
    private static final double ROUNDING = 1e-9;

    private static GroupTier tier(Places places, long seed) {
        GroupTier tier = new GroupTier(places, seed, STEP);
        for (int b = 0; b < places.balancers(); b++) {
            tier.learned(b, 5 * places.balancers());
            tier.misses(b, b % 4 == 0 ? 20 : 3);
        }
        return tier;
    }

    private static GroupTier settled(int balancers, long seed) {
        GroupTier tier = tier(TestPlaces.of(balancers), seed);
        tier.pass(SETTLED_SECONDS * SECOND);
        return tier;
    }

    private static IntPredicate region(Places places, int number) {
        return b -> places.group(Level.REGION, b).number() == number;
    }

    private static int holderOf(GroupTier tier, int leases) {
        for (int b = 0; b < tier.places.balancers(); b++) {
            if (tier.runs(b) && tier.exchange(b).leases(tier.clock(b)) >= leases) {
                return b;
            }
        }
        return -1;
    }

    /** Whatever is lost, late, doubled, cut in one direction, killed, stalled and restarted, of any size. */
    @Property(seed = SEED, tries = 8)
    void allTogetherNeverHaveMoreThanTheAllowance(
            @ForAll @IntRange(min = 1, max = 700) int balancers, @ForAll long seed) {
        Random random = new Random(seed);
        GroupTier tier = tier(TestPlaces.of(balancers), seed);
        tier.network.faults.loss = random.nextDouble() / 3;
        tier.network.faults.doubling = random.nextDouble() / 2;
        tier.network.faults.jitterMicros = random.nextInt(2_500_000);
        for (int b = 0; b < balancers; b++) {
            tier.skew(b, random.nextInt(200_000) - 100_000);
        }
        for (int second = 0; second < 22; second++) {
            int victim = random.nextInt(balancers);
            int group = random.nextInt(balancers);
            switch (random.nextInt(6)) {
                case 0 -> tier.kill(victim);
                case 1 -> tier.start(victim);
                case 2 -> tier.stall(victim, 5 * SECOND);
                case 3 -> tier.network.faults.cut = (from, to) -> from % 7 == group % 7 && to % 3 != group % 3;
                case 4 -> tier.network.faults.cut = (from, to) -> (from < group) != (to < group);
                default -> tier.network.faults.cut = (from, to) -> false;
            }
            tier.misses(victim, 100);
            tier.pass(SECOND);
            double together = tier.partsTogether();
            assertTrue(balancers + " balancers, second " + second + ": " + together, together <= 1 + ROUNDING);
        }
    }

    @Example
    void withoutFaultsAllOfItIsUsedAtEverySize() {
        for (int balancers : new int[] {1, 2, 3, 13, 20, 100}) {
            GroupTier tier = settled(balancers, 1);
            assertEquals(balancers + " balancers", 1, tier.partsTogether(), 2e-3);
        }
    }

    @Example
    void aLostHolderOfThreeLeasesIsFollowedWithinThreeSeconds() {
        GroupTier tier = settled(160, 2);
        int lost = holderOf(tier, 3);
        Places places = tier.places;
        for (long offset = 0; offset < SECOND; offset += 250_000) {
            GroupTier one = settled(160, 2);
            one.pass(offset);
            one.kill(lost);
            long died = one.now;
            while (followers(one, places, lost) < 3) {
                one.pass(STEP);
                assertTrue(one.partsTogether() <= 1 + ROUNDING);
                assertTrue("after " + (one.now - died), one.now - died < 3 * SECOND);
            }
        }
    }

    /** Of the site, zone and region of a balancer that is gone: how many have one that holds their lease by votes. */
    private static int followers(GroupTier tier, Places places, int lost) {
        int followed = 0;
        for (int leases = 1; leases <= 3; leases++) {
            Level level = Level.of(leases - 1);
            for (int b = 0; b < places.balancers(); b++) {
                boolean same = places.group(level, b) == places.group(level, lost);
                if (b != lost && same && tier.exchange(b).leases(tier.clock(b)) >= leases) {
                    followed++;
                    break;
                }
            }
        }
        return followed;
    }

    @Example
    void aHolderThatStandsStillAndWakesIsNoLongerCounted() {
        GroupTier tier = settled(100, 3);
        int holder = holderOf(tier, 3);
        tier.stall(holder, 5 * SECOND);
        tier.pass(5 * SECOND);
        int mate = holder + 1;
        int next = tier.exchange(mate).siteHolder(tier.clock(mate));
        assertNotEquals(holder, next);
        for (int step = 0; step < 60; step++) {
            tier.pass(STEP);
            assertTrue(tier.partsTogether() <= 1 + ROUNDING);
            assertEquals(next, tier.exchange(mate).siteHolder(tier.clock(mate)));
        }
        assertEquals(0, tier.exchange(holder).leases(tier.clock(holder)));
        assertEquals(next, tier.exchange(holder).siteHolder(tier.clock(holder)));
    }

    @Example
    void aSiteWhoseMembersAllRestartSpeaksAgain() {
        GroupTier tier = settled(100, 4);
        Places places = tier.places;
        for (int b : places.group(Level.SITE, 0).children()) {
            tier.start(b);
        }
        for (int second = 0; second < 16; second++) {
            tier.pass(SECOND);
            assertTrue(tier.partsTogether() <= 1 + ROUNDING);
        }
        assertEquals(1, tier.partsTogether(), 1e-2);
        assertEquals(
                100 - places.group(Level.SITE, 0).members(),
                tier.exchange(0).outside(tier.now).members());
    }

    @Example
    void clocksTwoHundredMillisecondsApartAreNoFault() {
        GroupTier tier = tier(TestPlaces.of(100), 5);
        for (int b = 0; b < 100; b++) {
            tier.skew(b, b % 2 == 0 ? Timing.CLOCK_SKEW_MICROS : 0);
        }
        tier.pass(2 * SETTLED_SECONDS * SECOND);
        assertEquals(1, tier.partsTogether(), 1e-2);
        assertEquals(0, tier.exchange(1).secondHolders());
    }

    @Example
    void underLossDelayDoublingAndReorderingMostStaysInUse() {
        GroupTier tier = tier(TestPlaces.of(100), 6);
        tier.network.faults.loss = 0.02;
        tier.network.faults.doubling = 0.2;
        tier.network.faults.jitterMicros = 100_000;
        tier.pass(SETTLED_SECONDS * SECOND);
        double sum = 0;
        for (int second = 0; second < 30; second++) {
            tier.pass(SECOND);
            sum += tier.partsTogether();
        }
        assertTrue("" + sum / 30, sum / 30 > 0.9);
    }

    @Example
    void aRegionThatHearsNothingFallsToItsSafeShareAndTheOthersTakeWhatItHeld() {
        GroupTier tier = tier(TestPlaces.of(160, 13, 6, 3), 7);
        tier.pass(SETTLED_SECONDS * SECOND);
        IntPredicate first = region(tier.places, 0);
        double members = 0;
        for (int b = 0; b < 160; b++) {
            members += first.test(b) ? 1 : 0;
        }
        assertTrue("not the larger half", members < 80);
        tier.network.faults.cut = (from, to) -> first.test(from) != first.test(to);
        tier.pass((Timing.fallBackEpochs(Level.TIER) + 3) * SECOND);
        assertEquals(Exchange.GUARANTEED_PART * members / 160, tier.partsTogether(first), 1e-6);
        tier.pass((Timing.redealEpochs(Level.TIER) - Timing.fallBackEpochs(Level.TIER) + 3) * SECOND);
        double rest = 1 - Exchange.GUARANTEED_PART * members / 160;
        assertEquals(rest, tier.partsTogether(b -> !first.test(b)), 1e-2);
        tier.network.faults.cut = (from, to) -> false;
        double most = 0;
        for (int second = 0; second < 25; second++) {
            tier.fetchedInSecond = 0;
            tier.pass(SECOND);
            most = Math.max(most, tier.fetchedInSecond / 800.0);
            assertTrue(tier.partsTogether() <= 1 + ROUNDING);
        }
        assertTrue("a burst: " + most, most < 1.1);
        assertTrue("" + tier.partsTogether(first), tier.partsTogether(first) > 0.8 * members / 160);
    }

    @Example
    void membersOfTheVersionBeforeCountAsHeardAndKeepWhatIsTheirs() throws Exception {
        GroupTier tier = settled(20, 10);
        int old = 5;
        tier.kill(old);
        byte[] figures = new byte[45];
        figures[0] = PreviousVersion.VERSION;
        for (int second = 1; second <= 20; second++) {
            figures[6] = (byte) second; // the sequence number
            for (int mate = 0; mate < 10; mate++) {
                if (mate != old) {
                    tier.exchange(mate).hear(tier.now, old, figures, (b, d) -> {});
                }
            }
            tier.pass(SECOND);
        }
        assertTrue(tier.exchange(4).counters().previousVersion() > 10);
        // Its even share is not dealt out again, as its silence to this version's messages is no silence.
        assertTrue(tier.partsTogether() <= 1 - 0.9 / 20);
        assertTrue(tier.partsTogether() > 0.9);
    }

    @Example
    void withoutAHolderMembersHaveTheirGuaranteedPart() {
        GroupTier tier = settled(20, 11);
        for (int b = 0; b < 6; b++) {
            tier.kill(b); // six of the ten of a site
        }
        tier.pass(12 * SECOND);
        assertEquals(-1, tier.exchange(7).siteHolder(tier.now));
        assertEquals(Exchange.GUARANTEED_PART / 20, tier.exchange(7).part(tier.now), 1e-9);
        assertTrue(tier.partsTogether() <= 1 + ROUNDING);
    }

    @Example
    void aDeadBalancerIsDealtOutAgainWithinItsSite() {
        GroupTier tier = settled(20, 8);
        tier.kill(5);
        tier.pass((Timing.redealEpochs(Level.SITE) + 2) * SECOND);
        assertEquals(1 - Exchange.GUARANTEED_PART / 20, tier.partsTogether(), 1e-2);
    }

    @Example
    void fuzzedDatagramsAreCountedAndNothingOfThemIsBelieved() {
        GroupTier tier = settled(20, 9);
        GroupTier untouched = settled(20, 9);
        Random random = new Random(9);
        Exchange exchange = tier.exchange(3);
        long heard = exchange.counters().heard();
        int datagrams = 20_000;
        for (int i = 0; i < datagrams; i++) {
            byte[] datagram = new byte[random.nextInt(300)];
            random.nextBytes(datagram);
            if (datagram.length > 0 && random.nextBoolean()) {
                datagram[0] = random.nextBoolean() ? MessageCodec.VERSION : PreviousVersion.VERSION;
            }
            exchange.hear(tier.now, random.nextInt(25) - 2, datagram, (b, d) -> {});
        }
        long dropped = exchange.counters().malformed()
                + exchange.counters().foreign()
                + exchange.counters().outOfTime();
        assertEquals(datagrams, dropped + exchange.counters().heard() - heard);
        assertEquals(heard, exchange.counters().heard());
        assertEquals(untouched.exchange(3).part(tier.now), exchange.part(tier.now), 0);
        assertEquals(untouched.exchange(3).siteHolder(tier.now), exchange.siteHolder(tier.now));
    }
}
