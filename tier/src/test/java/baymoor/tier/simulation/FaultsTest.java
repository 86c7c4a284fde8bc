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

/** Runs simulated tiers under network faults, crashes, pauses, restarts and clock skew. */
class FaultsTest {

    private static final String SEED = "4716";
    private static final long STEP_MICROS = 50_000;
    private static final long SECOND = SimulatedTier.SECOND;
    private static final int SETTLING_SECONDS = 14;
    /** Tolerance for floating-point errors when shares are added up. */
    private static final double ROUNDING = 1e-9;

    private static SimulatedTier tier(Places places, long seed) {
        SimulatedTier tier = new SimulatedTier(places, seed, STEP_MICROS);
        for (int b = 0; b < places.balancers(); b++) {
            tier.setLearnedRate(b, 5 * places.balancers());
            tier.setMissRate(b, b % 4 == 0 ? 20 : 3);
        }
        return tier;
    }

    private static SimulatedTier settledTier(int balancers, long seed) {
        SimulatedTier tier = tier(TestPlaces.of(balancers), seed);
        tier.advance(SETTLING_SECONDS * SECOND);
        return tier;
    }

    private static IntPredicate inRegion(Places places, int number) {
        return b -> places.group(Level.REGION, b).number() == number;
    }

    private static int balancerWithLeases(SimulatedTier tier, int leases) {
        for (int b = 0; b < tier.places.balancers(); b++) {
            if (tier.isRunning(b) && tier.exchange(b).heldLeases(tier.clockMicros(b)) >= leases) {
                return b;
            }
        }
        return -1;
    }

    /** Guards against overcommitment in tiers of any size under random combinations of faults. */
    @Property(seed = SEED, tries = 8)
    void totalShareNeverExceedsAllowanceUnderRandomFaults(
            @ForAll @IntRange(min = 1, max = 700) int balancers, @ForAll long seed) {
        Random random = new Random(seed);
        SimulatedTier tier = tier(TestPlaces.of(balancers), seed);
        tier.network.faults.loss = random.nextDouble() / 3;
        tier.network.faults.duplication = random.nextDouble() / 2;
        tier.network.faults.jitterMicros = random.nextInt(2_500_000);
        for (int b = 0; b < balancers; b++) {
            tier.setClockSkew(b, random.nextInt(200_000) - 100_000);
        }
        for (int second = 0; second < 22; second++) {
            int victim = random.nextInt(balancers);
            int group = random.nextInt(balancers);
            switch (random.nextInt(6)) {
                case 0 -> tier.kill(victim);
                case 1 -> tier.start(victim);
                case 2 -> tier.pause(victim, 5 * SECOND);
                case 3 -> tier.network.faults.blocked = (from, to) -> from % 7 == group % 7 && to % 3 != group % 3;
                case 4 -> tier.network.faults.blocked = (from, to) -> (from < group) != (to < group);
                default -> tier.network.faults.blocked = (from, to) -> false;
            }
            tier.setMissRate(victim, 100);
            tier.advance(SECOND);
            double totalShare = tier.totalShare();
            assertTrue(balancers + " balancers, second " + second + ": " + totalShare, totalShare <= 1 + ROUNDING);
        }
    }

    @Example
    void withoutFaultsAllocatesWholeAllowanceAtEverySize() {
        for (int balancers : new int[] {1, 2, 3, 13, 20, 100}) {
            SimulatedTier tier = settledTier(balancers, 1);
            assertEquals(balancers + " balancers", 1, tier.totalShare(), 2e-3);
        }
    }

    @Example
    void lostHolderOfThreeLeasesIsReplacedWithinThreeSeconds() {
        SimulatedTier tier = settledTier(160, 2);
        int lostHolder = balancerWithLeases(tier, 3);
        Places places = tier.places;
        for (long offset = 0; offset < SECOND; offset += 250_000) {
            SimulatedTier faultyTier = settledTier(160, 2);
            faultyTier.advance(offset);
            faultyTier.kill(lostHolder);
            long killedAtMicros = faultyTier.nowMicros;
            while (replacedLeases(faultyTier, places, lostHolder) < 3) {
                faultyTier.advance(STEP_MICROS);
                assertTrue(faultyTier.totalShare() <= 1 + ROUNDING);
                assertTrue(
                        "after " + (faultyTier.nowMicros - killedAtMicros),
                        faultyTier.nowMicros - killedAtMicros < 3 * SECOND);
            }
        }
    }

    /** Returns in how many of a lost holder's site, zone and region another balancer holds the lease. */
    private static int replacedLeases(SimulatedTier tier, Places places, int lostHolder) {
        int replaced = 0;
        for (int leases = 1; leases <= 3; leases++) {
            Level level = Level.of(leases - 1);
            for (int b = 0; b < places.balancers(); b++) {
                boolean same = places.group(level, b) == places.group(level, lostHolder);
                if (b != lostHolder && same && tier.exchange(b).heldLeases(tier.clockMicros(b)) >= leases) {
                    replaced++;
                    break;
                }
            }
        }
        return replaced;
    }

    @Example
    void pausedHolderLosesItsLeases() {
        SimulatedTier tier = settledTier(100, 3);
        int holder = balancerWithLeases(tier, 3);
        tier.pause(holder, 5 * SECOND);
        tier.advance(5 * SECOND);
        int sibling = holder + 1;
        int newHolder = tier.exchange(sibling).siteLeaseHolder(tier.clockMicros(sibling));
        assertNotEquals(holder, newHolder);
        for (int step = 0; step < 60; step++) {
            tier.advance(STEP_MICROS);
            assertTrue(tier.totalShare() <= 1 + ROUNDING);
            assertEquals(newHolder, tier.exchange(sibling).siteLeaseHolder(tier.clockMicros(sibling)));
        }
        assertEquals(0, tier.exchange(holder).heldLeases(tier.clockMicros(holder)));
        assertEquals(newHolder, tier.exchange(holder).siteLeaseHolder(tier.clockMicros(holder)));
    }

    @Example
    void siteRecoversAfterAllMembersRestart() {
        SimulatedTier tier = settledTier(100, 4);
        Places places = tier.places;
        for (int b : places.group(Level.SITE, 0).children()) {
            tier.start(b);
        }
        for (int second = 0; second < 16; second++) {
            tier.advance(SECOND);
            assertTrue(tier.totalShare() <= 1 + ROUNDING);
        }
        assertEquals(1, tier.totalShare(), 1e-2);
        assertEquals(
                100 - places.group(Level.SITE, 0).members(),
                tier.exchange(0).totalsOutsideSite(tier.nowMicros).members());
    }

    @Example
    void maximumClockSkewIsTolerated() {
        SimulatedTier tier = tier(TestPlaces.of(100), 5);
        for (int b = 0; b < 100; b++) {
            tier.setClockSkew(b, b % 2 == 0 ? Timing.MAX_CLOCK_SKEW_MICROS : 0);
        }
        tier.advance(2 * SETTLING_SECONDS * SECOND);
        assertEquals(1, tier.totalShare(), 1e-2);
        assertEquals(0, tier.exchange(1).conflictingClaims());
    }

    @Example
    void mostOfAllowanceStaysAllocatedUnderNetworkFaults() {
        SimulatedTier tier = tier(TestPlaces.of(100), 6);
        tier.network.faults.loss = 0.02;
        tier.network.faults.duplication = 0.2;
        tier.network.faults.jitterMicros = 100_000;
        tier.advance(SETTLING_SECONDS * SECOND);
        double sum = 0;
        for (int second = 0; second < 30; second++) {
            tier.advance(SECOND);
            sum += tier.totalShare();
        }
        assertTrue("" + sum / 30, sum / 30 > 0.9);
    }

    @Example
    void isolatedRegionFallsBackAndOthersTakeItsShare() {
        SimulatedTier tier = tier(TestPlaces.of(160, 13, 6, 3), 7);
        tier.advance(SETTLING_SECONDS * SECOND);
        IntPredicate inFirstRegion = inRegion(tier.places, 0);
        double members = 0;
        for (int b = 0; b < 160; b++) {
            members += inFirstRegion.test(b) ? 1 : 0;
        }
        assertTrue("the isolated region must be the smaller part", members < 80);
        tier.network.faults.blocked = (from, to) -> inFirstRegion.test(from) != inFirstRegion.test(to);
        tier.advance((Timing.fallBackEpochs(Level.TIER) + 3) * SECOND);
        assertEquals(Exchange.GUARANTEED_FRACTION * members / 160, tier.totalShare(inFirstRegion), 1e-6);
        tier.advance((Timing.reallocationEpochs(Level.TIER) - Timing.fallBackEpochs(Level.TIER) + 3) * SECOND);
        double remainingShare = 1 - Exchange.GUARANTEED_FRACTION * members / 160;
        assertEquals(remainingShare, tier.totalShare(b -> !inFirstRegion.test(b)), 1e-2);
        tier.network.faults.blocked = (from, to) -> false;
        double maxFetchRatio = 0;
        for (int second = 0; second < 25; second++) {
            tier.fetchedInSecond = 0;
            tier.advance(SECOND);
            maxFetchRatio = Math.max(maxFetchRatio, tier.fetchedInSecond / 800.0);
            assertTrue(tier.totalShare() <= 1 + ROUNDING);
        }
        assertTrue("fetches exceed the allowance: " + maxFetchRatio, maxFetchRatio < 1.1);
        assertTrue("" + tier.totalShare(inFirstRegion), tier.totalShare(inFirstRegion) > 0.8 * members / 160);
    }

    @Example
    void previousVersionMembersCountAsHeardAndKeepTheirShare() throws Exception {
        SimulatedTier tier = settledTier(20, 10);
        int previousVersionMember = 5;
        tier.kill(previousVersionMember);
        byte[] datagram = new byte[45];
        datagram[0] = PreviousVersion.VERSION;
        for (int second = 1; second <= 20; second++) {
            datagram[6] = (byte) second; // the sequence number
            for (int sibling = 0; sibling < 10; sibling++) {
                if (sibling != previousVersionMember) {
                    tier.exchange(sibling).receive(tier.nowMicros, previousVersionMember, datagram, (b, d) -> {});
                }
            }
            tier.advance(SECOND);
        }
        assertTrue(tier.exchange(4).counters().previousVersion() > 10);
        // Its share is not reallocated, because messages of the previous version keep it alive.
        assertTrue(tier.totalShare() <= 1 - 0.9 / 20);
        assertTrue(tier.totalShare() > 0.9);
    }

    @Example
    void withoutHolderMembersKeepGuaranteedShare() {
        SimulatedTier tier = settledTier(20, 11);
        for (int b = 0; b < 6; b++) {
            tier.kill(b); // six of the ten members of a site
        }
        tier.advance(12 * SECOND);
        assertEquals(-1, tier.exchange(7).siteLeaseHolder(tier.nowMicros));
        assertEquals(Exchange.GUARANTEED_FRACTION / 20, tier.exchange(7).allowanceShare(tier.nowMicros), 1e-9);
        assertTrue(tier.totalShare() <= 1 + ROUNDING);
    }

    @Example
    void shareOfDeadBalancerIsReallocatedWithinSite() {
        SimulatedTier tier = settledTier(20, 8);
        tier.kill(5);
        tier.advance((Timing.reallocationEpochs(Level.SITE) + 2) * SECOND);
        assertEquals(1 - Exchange.GUARANTEED_FRACTION / 20, tier.totalShare(), 1e-2);
    }

    @Example
    void fuzzedDatagramsAreCountedAndIgnored() {
        SimulatedTier tier = settledTier(20, 9);
        SimulatedTier untouched = settledTier(20, 9);
        Random random = new Random(9);
        Exchange exchange = tier.exchange(3);
        long receivedBefore = exchange.counters().received();
        int datagrams = 20_000;
        for (int i = 0; i < datagrams; i++) {
            byte[] datagram = new byte[random.nextInt(300)];
            random.nextBytes(datagram);
            if (datagram.length > 0 && random.nextBoolean()) {
                datagram[0] = random.nextBoolean() ? MessageCodec.VERSION : PreviousVersion.VERSION;
            }
            exchange.receive(tier.nowMicros, random.nextInt(25) - 2, datagram, (b, d) -> {});
        }
        long dropped = exchange.counters().malformed()
                + exchange.counters().implausible()
                + exchange.counters().outsideWindow();
        assertEquals(datagrams, dropped + exchange.counters().received() - receivedBefore);
        assertEquals(receivedBefore, exchange.counters().received());
        assertEquals(untouched.exchange(3).allowanceShare(tier.nowMicros), exchange.allowanceShare(tier.nowMicros), 0);
        assertEquals(untouched.exchange(3).siteLeaseHolder(tier.nowMicros), exchange.siteLeaseHolder(tier.nowMicros));
    }
}
