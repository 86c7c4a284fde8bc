package baymoor.scale.hollow;

import baymoor.scale.loop.RunClock;
import baymoor.scale.loop.Work;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Adds up what the decision threads tell, one after another. */
final class TotalsSum {

    private static final double MICROS_A_MILLI = 1e3;

    private final long[] nanos = new long[Work.values().length];
    private final Traffic traffic;
    private final Histogram ages = new Histogram(HollowGroup.LONGEST_AGE_MICROS, 2);
    private final Histogram realAges = new Histogram(HollowGroup.LONGEST_AGE_MICROS, 2);
    private final Histogram lateness = new Histogram(HollowGroup.LONGEST_AGE_MICROS, 2);
    private final Map<String, Long> asked = new TreeMap<>();
    private final List<Totals.KnownVersion> known = new ArrayList<>();
    private int balancers;
    private long requests;
    private long answers;
    private long refusals;
    private long fetches;
    private long failures;
    private long unsent;

    TotalsSum(int real) {
        traffic = new Traffic(0, real);
    }

    synchronized void add(HollowGroup group) {
        long[] spent = group.loop().spentNanos();
        for (int kind = 0; kind < spent.length; kind++) {
            nanos[kind] += spent[kind];
        }
        ages.add(group.ages());
        realAges.add(group.realAges());
        lateness.add(group.loop().lateness());
        group.balancers().forEach(this::add);
    }

    private void add(HollowBalancer balancer) {
        balancers++;
        DrawnWorld world = balancer.world();
        requests += world.requests();
        answers += world.answers();
        refusals += world.refusals();
        fetches += world.fetches();
        failures += balancer.failures();
        unsent += balancer.unsent();
        world.asked()
                .forEach((router, count) ->
                        asked.merge(router.getAddress().getHostAddress() + ":" + router.getPort(), count, Long::sum));
        balancer.known()
                .forEach(k ->
                        known.add(new Totals.KnownVersion(balancer.number(), k.version(), k.atMicros(), k.atStart())));
        traffic.add(balancer.traffic());
    }

    Totals totals(RunClock clock, long cpuNanos, long heapBytes) {
        return new Totals(
                clock.micros(),
                balancers,
                traffic.messagesIn,
                traffic.messagesOut,
                traffic.bytesIn,
                traffic.bytesOut,
                traffic.discoveryBytesIn,
                traffic.discoveryBytesOut,
                traffic.discoveryReads,
                traffic.ticks,
                traffic.tickNanos,
                nanos[Work.CONTROL.ordinal()],
                nanos[Work.SERVING.ordinal()],
                nanos[Work.TOOL.ordinal()],
                cpuNanos,
                heapBytes,
                requests,
                answers,
                refusals,
                fetches,
                failures,
                unsent,
                millis(ages, 50),
                millis(ages, 99),
                millis(realAges, 50),
                millis(realAges, 99),
                millis(lateness, 99),
                asked,
                list(traffic.realMessages),
                list(traffic.realBytes),
                list(traffic.toRealMessages),
                known);
    }

    private static double millis(Histogram histogram, double percent) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percent) / MICROS_A_MILLI;
    }

    private static List<Long> list(long[] values) {
        return Arrays.stream(values).boxed().toList();
    }
}
