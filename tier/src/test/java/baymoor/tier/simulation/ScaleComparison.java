package baymoor.tier.simulation;

import baymoor.tier.exchange.RouterList;
import baymoor.tier.exchange.Timing;
import baymoor.tier.exchange.TrafficEstimate;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import merlinstep.FullMesh;
import org.junit.Test;

/**
 * Compares the hierarchical exchange with the full mesh in virtual time. Surefire does not select this class by default:
 *
 * <pre>
 * mvn -q -B -pl tier -am test -Dtest=ScaleComparison -Dsurefire.failIfNoSpecifiedTests=false -Dtier.sizes=20,100
 * </pre>
 */
public class ScaleComparison {

    private static final long SECOND = SimulatedTier.SECOND;
    private static final long STEP_MICROS = 10_000;
    private static final int ROUTERS = 180;
    private static final int OUTSTANDING_ATTEMPTS = 40;
    private static final double ALLOWANCE_PER_BALANCER = 5;
    private static final double HITS_PER_SECOND = 114; // keeps forty attempts in flight
    private static final int SETTLING_SECONDS = 16;
    private static final int MEASURED_SECONDS = 20;
    private static final int SAMPLED_PAIRS = 2_000;

    private static int[] sizes() {
        return Arrays.stream(System.getProperty("tier.sizes", "20,100").split(","))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    private static void printRow(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static double missRate(int balancer) {
        return balancer % 4 == 0 ? 20 : 3;
    }

    private static double percentile(List<Double> values, double quantile) {
        List<Double> sorted = new ArrayList<>(values);
        sorted.removeIf(v -> v.isNaN());
        if (sorted.isEmpty()) {
            return Double.NaN;
        }
        Collections.sort(sorted);
        return sorted.get((int) Math.min(sorted.size() - 1, quantile * sorted.size()));
    }

    private static SimulatedTier groups(Places places, long seed) {
        SimulatedTier tier = new SimulatedTier(places, seed, STEP_MICROS);
        tier.setRouters(new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray()));
        Random random = new Random(seed);
        for (int b = 0; b < places.balancers(); b++) {
            // Every tenth balancer underestimates the allowance by a factor of ten.
            double noise = b % 10 == 9 ? 0.1 : 1 + 0.05 * random.nextGaussian();
            tier.setLearnedRate(b, noise * ALLOWANCE_PER_BALANCER * places.balancers());
            tier.setMissRate(b, missRate(b));
        }
        return tier;
    }

    /** Distributes each balancer's attempts in flight over the routers at random. */
    private static void churn(SimulatedTier tier, Random random) {
        for (int b = 0; b < tier.places.balancers(); b++) {
            int[] loads = tier.loads(b);
            Arrays.fill(loads, 0);
            for (int i = 0; i < OUTSTANDING_ATTEMPTS; i++) {
                loads[random.nextInt(loads.length)]++;
            }
        }
    }

    private static FullMesh mesh(Places places, long seed) {
        double allowed = ALLOWANCE_PER_BALANCER * places.balancers();
        FullMesh mesh = new FullMesh(places, ROUTERS, HITS_PER_SECOND, allowed, seed);
        for (int b = 0; b < places.balancers(); b++) {
            mesh.setMissRate(b, missRate(b));
        }
        return mesh;
    }

    private static void printTraffic(String kind, int balancers, Network network, String ageAndUse) {
        double maxBytes = 0;
        double sum = 0;
        double maxMessages = 0;
        for (int b = 0; b < balancers; b++) {
            double bytes = (network.sentBytes[b] + network.receivedBytes[b]) / (double) MEASURED_SECONDS;
            double messages = (network.sentMessages[b] + network.receivedMessages[b]) / (double) MEASURED_SECONDS;
            maxBytes = Math.max(maxBytes, bytes);
            maxMessages = Math.max(maxMessages, messages);
            sum += bytes / balancers;
        }
        printRow(
                "| %s | %d | %.0f | %.2f | %.2f | %s |",
                kind, balancers, maxMessages, sum / 1000, maxBytes / 1000, ageAndUse);
    }

    @Test
    public void sideBySide() {
        printRow("| kind | balancers | messages/s, most | KB/s, mean | KB/s, most | age p50 | age p99 "
                + "| worst second | use | core %% |");
        for (int balancers : sizes()) {
            measureGroups(balancers);
            measureMesh(balancers);
        }
    }

    private static void measureGroups(int balancers) {
        SimulatedTier tier = groups(TestPlaces.of(balancers), 11);
        Random random = new Random(12);
        List<Double> ages = new ArrayList<>();
        double maxUse = 0;
        double meanUse = 0;
        for (int second = 0; second < SETTLING_SECONDS + MEASURED_SECONDS; second++) {
            if (second == SETTLING_SECONDS) {
                tier.network.resetCounts();
                tier.controlNanos = 0;
            }
            tier.fetchedInSecond = 0;
            for (int tenth = 0; tenth < 10; tenth++) {
                churn(tier, random);
                tier.advance(SECOND / 10);
                if (second >= SETTLING_SECONDS) {
                    ages.add(tier.outsideAgeSeconds(random.nextInt(balancers)));
                    ages.add(tier.outsideAgeSeconds(random.nextInt(balancers)));
                }
            }
            if (second >= SETTLING_SECONDS) {
                double usedFraction = tier.fetchedInSecond / (ALLOWANCE_PER_BALANCER * balancers);
                maxUse = Math.max(maxUse, usedFraction);
                meanUse += usedFraction / MEASURED_SECONDS;
            }
        }
        double corePercent = 100.0 * tier.controlNanos / 1e9 / MEASURED_SECONDS / balancers;
        String ageAndUse = String.format(
                Locale.ROOT,
                "%.1f s | %.1f s | %.2f | %.2f | %.3f",
                percentile(ages, 0.5),
                percentile(ages, 0.99),
                maxUse,
                meanUse,
                corePercent);
        printTraffic("groups", balancers, tier.network, ageAndUse);
    }

    private static void measureMesh(int balancers) {
        FullMesh mesh = mesh(TestPlaces.of(balancers), 11);
        Random random = new Random(12);
        List<Double> ages = new ArrayList<>();
        double maxUse = 0;
        double meanUse = 0;
        double previousAllowance = 0;
        for (int second = 0; second < SETTLING_SECONDS + MEASURED_SECONDS; second++) {
            if (second == SETTLING_SECONDS) {
                mesh.network.resetCounts();
                mesh.controlNanos = 0;
            }
            mesh.fetchesThisSecond = 0;
            mesh.advance(SECOND);
            double allowance = mesh.allowance();
            if (second >= SETTLING_SECONDS) {
                for (int pair = 0; pair < SAMPLED_PAIRS / MEASURED_SECONDS; pair++) {
                    int subject = random.nextInt(balancers);
                    int observer = random.nextInt(balancers);
                    ages.add(subject == observer ? Double.NaN : mesh.stateAge(subject, observer));
                }
                double usedFraction = mesh.fetchesThisSecond / Math.max(previousAllowance, allowance);
                maxUse = Math.max(maxUse, usedFraction);
                meanUse += usedFraction / MEASURED_SECONDS;
            }
            previousAllowance = allowance;
        }
        String ageAndUse = String.format(
                Locale.ROOT,
                "%.1f s | %.1f s | %.2f | %.2f | %.3f",
                percentile(ages, 0.5),
                percentile(ages, 0.99),
                maxUse,
                meanUse,
                100 * mesh.controlShare(MEASURED_SECONDS));
        printTraffic("mesh", balancers, mesh.network, ageAndUse);
    }

    /** Prints the largest estimated traffic of a member, and of holders of one, two and three leases. */
    @Test
    public void byFormula() {
        printRow("| balancers | leases | messages/s | KB/s, no transfers | KB/s, four transfers |");
        for (int balancers : new int[] {20, 100, 160, 320, 640}) {
            Places places = TestPlaces.of(balancers);
            for (int leases = 0; leases < Level.COUNT; leases++) {
                int heldLeases = leases;
                double messages = maxTraffic(places, heldLeases, 0, true);
                double minimum = maxTraffic(places, heldLeases, 0, false);
                double typical = maxTraffic(places, heldLeases, 4, false);
                printRow(
                        "| %d | %d | %.0f | %.2f | %.2f |",
                        balancers, leases, messages, minimum / 1000, typical / 1000);
            }
        }
    }

    private static double maxTraffic(Places places, int leases, int transfers, boolean messages) {
        return IntStream.range(0, places.balancers())
                .mapToObj(b -> TrafficEstimate.traffic(places, b, leases, transfers, Timing.DEFAULT))
                .mapToDouble(t -> messages ? t.messages() : t.bytes())
                .max()
                .orElseThrow();
    }

    /** Prints how long after a change at one site the balancers elsewhere know at least half of it. */
    @Test
    public void loadsKnown() {
        printRow("| balancers | 50%% know | 99%% know | 100%% know |");
        for (int balancers : sizes()) {
            Places places = TestPlaces.of(balancers);
            SimulatedTier tier = groups(places, 13);
            Random random = new Random(14);
            churn(tier, random);
            tier.advance(SETTLING_SECONDS * 3 * SECOND);
            RouterList list = new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray());
            int router = list.indexOf(RouterList.tag(77));
            int[] before = new int[balancers];
            Arrays.setAll(before, b -> tier.exchange(b).remoteLoads(tier.nowMicros)[router]);
            List<Integer> site = places.group(Level.SITE, 0).children();
            site.forEach(b -> tier.loads(b)[router] += 20);
            int change = 20 * site.size();
            int others = balancers - site.size();
            double[] knownAfterSeconds = new double[3];
            for (int step = 1; knownAfterSeconds[2] == 0 && step < 6_000; step++) {
                tier.advance(SECOND / 10);
                long informed = IntStream.range(0, balancers)
                        .filter(b -> !site.contains(b))
                        .filter(b -> tier.exchange(b).remoteLoads(tier.nowMicros)[router] - before[b] >= change / 2)
                        .count();
                double[] fractions = {0.5, 0.99, 1};
                for (int i = 0; i < fractions.length; i++) {
                    knownAfterSeconds[i] = knownAfterSeconds[i] == 0 && informed >= fractions[i] * others
                            ? step / 10.0
                            : knownAfterSeconds[i];
                }
            }
            printRow(
                    "| %d | %.1f s | %.1f s | %.1f s |",
                    balancers, knownAfterSeconds[0], knownAfterSeconds[1], knownAfterSeconds[2]);
        }
    }

    /** Prints the heap used per balancer, including the simulation itself. */
    @Test
    public void memory() {
        for (int balancers : sizes()) {
            Places places = TestPlaces.of(balancers);
            long before = usedHeap();
            SimulatedTier tier = groups(places, 16);
            tier.advance(SETTLING_SECONDS * SECOND);
            double kilobytesPerBalancer = (usedHeap() - before) / 1024.0 / balancers;
            printRow("| %d | %.1f KB for each of %d |", balancers, kilobytesPerBalancer, tier.places.balancers());
        }
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Prints the use of the allowance under one fault at a time. */
    @Test
    public void faults() {
        printRow("| balancers | fault | worst second | use in the worst 10 s | back to 0.9 after |");
        for (int balancers : sizes()) {
            Places places = TestPlaces.of(balancers);
            fault(places, "none", (t, s) -> {});
            fault(places, "holder of three leases lost", (t, s) -> {
                if (s == 0) {
                    t.kill(IntStream.range(0, balancers)
                            .filter(b -> t.exchange(b).heldLeases(t.nowMicros) == 3)
                            .findFirst()
                            .orElse(0));
                }
            });
            IntPredicate zone = b -> places.group(Level.ZONE, b).number() == 0;
            fault(places, "zone lost", (t, s) -> {
                if (s == 0) {
                    IntStream.range(0, balancers).filter(zone).forEach(t::kill);
                }
            });
            if (places.groups(Level.REGION).size() > 1) {
                IntPredicate region = b -> places.group(Level.REGION, b).number() == 0;
                fault(places, "region isolated for 120 s", (t, s) -> {
                    boolean isolated = s < 120;
                    t.network.faults.blocked = (from, to) -> isolated && region.test(from) != region.test(to);
                });
            }
            fault(places, "84 restarts in 168 s", (t, s) -> {
                int victim = s / 2 * 37 % balancers;
                if (s < 168 && s % 2 == 0) {
                    t.kill(victim);
                } else if (s < 168) {
                    t.start(victim);
                    t.setLearnedRate(victim, 0);
                }
            });
        }
    }

    private interface FaultScript {
        void apply(SimulatedTier tier, int second);
    }

    private static void fault(Places places, String name, FaultScript script) {
        SimulatedTier tier = groups(places, 15);
        tier.advance(SETTLING_SECONDS * SECOND);
        int balancers = places.balancers();
        int seconds = 200;
        double[] utilization = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            script.apply(tier, second);
            tier.fetchedInSecond = 0;
            tier.advance(SECOND);
            utilization[second] = tier.fetchedInSecond / (ALLOWANCE_PER_BALANCER * balancers);
        }
        double maxUse = Arrays.stream(utilization).max().orElseThrow();
        double minMeanUse = 9;
        int lastSecondBelowTarget = -1;
        for (int second = 0; second < seconds; second++) {
            lastSecondBelowTarget = utilization[second] < 0.9 ? second : lastSecondBelowTarget;
            if (second + 10 <= seconds) {
                double mean = Arrays.stream(utilization, second, second + 10)
                        .average()
                        .orElseThrow();
                minMeanUse = Math.min(minMeanUse, mean);
            }
        }
        printRow("| %d | %s | %.2f | %.2f | %d s |", balancers, name, maxUse, minMeanUse, lastSecondBelowTarget + 1);
    }
}
