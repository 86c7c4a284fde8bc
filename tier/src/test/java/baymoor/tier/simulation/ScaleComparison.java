package baymoor.tier.simulation;

import baymoor.tier.exchange.RouterList;
import baymoor.tier.exchange.Sizes;
import baymoor.tier.exchange.Timing;
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
 * The full mesh beside the groups, both in virtual time with the real state machines. Not part of the usual tests:
 *
 * <pre>
 * mvn -q -B -pl tier -am test -Dtest=ScaleComparison -Dsurefire.failIfNoSpecifiedTests=false -Dtier.sizes=20,100
 * </pre>
 */
public class ScaleComparison {

    private static final long SECOND = SimulatedTier.SECOND;
    private static final long STEP = 10_000;
    private static final int ROUTERS = 180;
    private static final int OUT = 40;
    private static final double ALLOWED_EACH = 5;
    private static final double HITS_PER_SECOND = 114; // forty out at a time
    private static final int SETTLED_SECONDS = 16;
    private static final int MEASURED_SECONDS = 20;
    private static final int PAIRS = 2_000;

    private static int[] sizes() {
        return Arrays.stream(System.getProperty("tier.sizes", "20,100").split(","))
                .mapToInt(Integer::parseInt)
                .toArray();
    }

    private static void print(String format, Object... values) {
        System.out.printf(Locale.ROOT, format + "%n", values);
    }

    private static double misses(int balancer) {
        return balancer % 4 == 0 ? 20 : 3;
    }

    private static double percentile(List<Double> values, double part) {
        List<Double> known = new ArrayList<>(values);
        known.removeIf(v -> v.isNaN());
        if (known.isEmpty()) {
            return Double.NaN;
        }
        Collections.sort(known);
        return known.get((int) Math.min(known.size() - 1, part * known.size()));
    }

    private static SimulatedTier groups(Places places, long seed) {
        SimulatedTier tier = new SimulatedTier(places, seed, STEP);
        tier.setRouters(new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray()));
        Random random = new Random(seed);
        for (int b = 0; b < places.balancers(); b++) {
            // A tenth have learned far too little, as after a bad second of their own.
            double noise = b % 10 == 9 ? 0.1 : 1 + 0.05 * random.nextGaussian();
            tier.setLearnedRate(b, noise * ALLOWED_EACH * places.balancers());
            tier.setMissRate(b, misses(b));
        }
        return tier;
    }

    /** What is out changes at random, OUT attempts each. */
    private static void churn(SimulatedTier tier, Random random) {
        for (int b = 0; b < tier.places.balancers(); b++) {
            int[] loads = tier.loads(b);
            Arrays.fill(loads, 0);
            for (int i = 0; i < OUT; i++) {
                loads[random.nextInt(loads.length)]++;
            }
        }
    }

    private static FullMesh mesh(Places places, long seed) {
        double allowed = ALLOWED_EACH * places.balancers();
        FullMesh mesh = new FullMesh(places, ROUTERS, HITS_PER_SECOND, allowed, seed);
        for (int b = 0; b < places.balancers(); b++) {
            mesh.misses(b, misses(b));
        }
        return mesh;
    }

    private static void traffic(String kind, int balancers, Network network, String rest) {
        double most = 0;
        double sum = 0;
        double mostMessages = 0;
        for (int b = 0; b < balancers; b++) {
            double bytes = (network.sentBytes[b] + network.receivedBytes[b]) / (double) MEASURED_SECONDS;
            double messages = (network.sentMessages[b] + network.receivedMessages[b]) / (double) MEASURED_SECONDS;
            most = Math.max(most, bytes);
            mostMessages = Math.max(mostMessages, messages);
            sum += bytes / balancers;
        }
        print("| %s | %d | %.0f | %.2f | %.2f | %s |", kind, balancers, mostMessages, sum / 1000, most / 1000, rest);
    }

    @Test
    public void sideBySide() {
        print("| kind | balancers | messages/s, most | KB/s, mean | KB/s, most | age p50 | age p99 "
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
        double worst = 0;
        double use = 0;
        for (int second = 0; second < SETTLED_SECONDS + MEASURED_SECONDS; second++) {
            if (second == SETTLED_SECONDS) {
                tier.network.resetCounts();
                tier.controlNanos = 0;
            }
            tier.fetchedInSecond = 0;
            for (int tenth = 0; tenth < 10; tenth++) {
                churn(tier, random);
                tier.advance(SECOND / 10);
                if (second >= SETTLED_SECONDS) {
                    ages.add(tier.outsideAgeSeconds(random.nextInt(balancers)));
                    ages.add(tier.outsideAgeSeconds(random.nextInt(balancers)));
                }
            }
            if (second >= SETTLED_SECONDS) {
                double part = tier.fetchedInSecond / (ALLOWED_EACH * balancers);
                worst = Math.max(worst, part);
                use += part / MEASURED_SECONDS;
            }
        }
        double core = 100.0 * tier.controlNanos / 1e9 / MEASURED_SECONDS / balancers;
        String rest = String.format(
                Locale.ROOT,
                "%.1f s | %.1f s | %.2f | %.2f | %.3f",
                percentile(ages, 0.5),
                percentile(ages, 0.99),
                worst,
                use,
                core);
        traffic("groups", balancers, tier.network, rest);
    }

    private static void measureMesh(int balancers) {
        FullMesh mesh = mesh(TestPlaces.of(balancers), 11);
        Random random = new Random(12);
        List<Double> ages = new ArrayList<>();
        double worst = 0;
        double use = 0;
        double before = 0;
        for (int second = 0; second < SETTLED_SECONDS + MEASURED_SECONDS; second++) {
            if (second == SETTLED_SECONDS) {
                mesh.network.resetCounts();
                mesh.controlNanos = 0;
            }
            mesh.fetchedInSecond = 0;
            mesh.pass(SECOND);
            double allowance = mesh.allowance();
            if (second >= SETTLED_SECONDS) {
                for (int pair = 0; pair < PAIRS / MEASURED_SECONDS; pair++) {
                    int of = random.nextInt(balancers);
                    int at = random.nextInt(balancers);
                    ages.add(of == at ? Double.NaN : mesh.age(of, at));
                }
                double part = mesh.fetchedInSecond / Math.max(before, allowance);
                worst = Math.max(worst, part);
                use += part / MEASURED_SECONDS;
            }
            before = allowance;
        }
        String rest = String.format(
                Locale.ROOT,
                "%.1f s | %.1f s | %.2f | %.2f | %.3f",
                percentile(ages, 0.5),
                percentile(ages, 0.99),
                worst,
                use,
                100 * mesh.controlShare(MEASURED_SECONDS));
        traffic("mesh", balancers, mesh.network, rest);
    }

    /** By formula: a member, the holder of a site, of a zone too, of a region too, the largest of each. */
    @Test
    public void byFormula() {
        print("| balancers | leases | messages/s | KB/s, no gifts | KB/s, four gifts |");
        for (int balancers : new int[] {20, 100, 160, 320, 640}) {
            Places places = TestPlaces.of(balancers);
            for (int leases = 0; leases < Level.COUNT; leases++) {
                int held = leases;
                double messages = most(places, held, 0, true);
                double least = most(places, held, 0, false);
                double usual = most(places, held, 4, false);
                print("| %d | %d | %.0f | %.2f | %.2f |", balancers, leases, messages, least / 1000, usual / 1000);
            }
        }
    }

    private static double most(Places places, int leases, int gifts, boolean messages) {
        return IntStream.range(0, places.balancers())
                .mapToObj(b -> Sizes.traffic(places, b, leases, gifts, Timing.USUAL))
                .mapToDouble(t -> messages ? t.messages() : t.bytes())
                .max()
                .orElseThrow();
    }

    /** Seconds from a change at all balancers of one site until others outside of it know half of it. */
    @Test
    public void loadsKnown() {
        print("| balancers | 50%% know | 99%% know | 100%% know |");
        for (int balancers : sizes()) {
            Places places = TestPlaces.of(balancers);
            SimulatedTier tier = groups(places, 13);
            Random random = new Random(14);
            churn(tier, random);
            tier.advance(SETTLED_SECONDS * 3 * SECOND);
            RouterList list = new RouterList(LongStream.rangeClosed(1, ROUTERS).toArray());
            int router = list.indexOf(RouterList.tag(77));
            int[] before = new int[balancers];
            Arrays.setAll(before, b -> tier.exchange(b).remoteLoads(tier.nowMicros)[router]);
            List<Integer> site = places.group(Level.SITE, 0).children();
            site.forEach(b -> tier.loads(b)[router] += 20);
            int change = 20 * site.size();
            int others = balancers - site.size();
            double[] known = new double[3];
            for (int step = 1; known[2] == 0 && step < 6_000; step++) {
                tier.advance(SECOND / 10);
                long know = IntStream.range(0, balancers)
                        .filter(b -> !site.contains(b))
                        .filter(b -> tier.exchange(b).remoteLoads(tier.nowMicros)[router] - before[b] >= change / 2)
                        .count();
                double[] parts = {0.5, 0.99, 1};
                for (int i = 0; i < parts.length; i++) {
                    known[i] = known[i] == 0 && know >= parts[i] * others ? step / 10.0 : known[i];
                }
            }
            print("| %d | %.1f s | %.1f s | %.1f s |", balancers, known[0], known[1], known[2]);
        }
    }

    /** The heap that a tier's exchanges take, with all else of the simulation, for each balancer. */
    @Test
    public void memory() {
        for (int balancers : sizes()) {
            Places places = TestPlaces.of(balancers);
            long before = usedHeap();
            SimulatedTier tier = groups(places, 16);
            tier.advance(SETTLED_SECONDS * SECOND);
            double each = (usedHeap() - before) / 1024.0 / balancers;
            print("| %d | %.1f KB for each of %d |", balancers, each, tier.places.balancers());
        }
    }

    private static long usedHeap() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** One fault after another, in groups. */
    @Test
    public void faults() {
        print("| balancers | fault | worst second | use in the worst 10 s | back to 0.9 after |");
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
                fault(places, "region apart for 120 s and back", (t, s) -> {
                    boolean apart = s < 120;
                    t.network.faults.blocked = (from, to) -> apart && region.test(from) != region.test(to);
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

    private interface Script {
        void at(SimulatedTier tier, int second);
    }

    private static void fault(Places places, String name, Script script) {
        SimulatedTier tier = groups(places, 15);
        tier.advance(SETTLED_SECONDS * SECOND);
        int balancers = places.balancers();
        int seconds = 200;
        double[] used = new double[seconds];
        for (int second = 0; second < seconds; second++) {
            script.at(tier, second);
            tier.fetchedInSecond = 0;
            tier.advance(SECOND);
            used[second] = tier.fetchedInSecond / (ALLOWED_EACH * balancers);
        }
        double worst = Arrays.stream(used).max().orElseThrow();
        double least = 9;
        int lastUnder = -1;
        for (int second = 0; second < seconds; second++) {
            lastUnder = used[second] < 0.9 ? second : lastUnder;
            if (second + 10 <= seconds) {
                double mean = Arrays.stream(used, second, second + 10).average().orElseThrow();
                least = Math.min(least, mean);
            }
        }
        print("| %d | %s | %.2f | %.2f | %d s |", balancers, name, worst, least, lastUnder + 1);
    }
}
