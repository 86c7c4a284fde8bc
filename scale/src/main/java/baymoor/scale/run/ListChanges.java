package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** When discovery came to show each version of the list, and how long each took to be known. */
final class ListChanges {

    /** A change, and the milliseconds until so large a part of the balancers knew of it; -1 where that never was. */
    record Change(double atSeconds, double known50Ms, double known99Ms, double known100Ms) {}

    private static final double NEVER = -1;

    private final TreeMap<Long, Long> shown = new TreeMap<>();

    /** Discovery shows a version now, on the clock of all processes. */
    void shown(long version, long atMicros) {
        shown.putIfAbsent(version, atMicros);
    }

    /**
     * @param fromMicros changes before that don't count
     * @param toMicros   nor those after that
     * @param known      what the balancers told
     * @param balancers  that should know of each change
     */
    List<Change> changes(long fromMicros, long toMicros, List<Totals.KnownVersion> known, int balancers) {
        Map<Integer, TreeMap<Long, Long>> byBalancer = new HashMap<>();
        known.forEach(k -> byBalancer
                .computeIfAbsent(k.balancer(), b -> new TreeMap<>())
                .merge(k.version(), k.atMicros(), Math::min));
        List<Change> changes = new ArrayList<>();
        shown.forEach((version, at) -> {
            if (at >= fromMicros && at <= toMicros) {
                changes.add(change(version, at, fromMicros, byBalancer, balancers));
            }
        });
        return changes;
    }

    private static Change change(
            long version, long at, long from, Map<Integer, TreeMap<Long, Long>> byBalancer, int balancers) {
        double[] millis = new double[balancers];
        Arrays.fill(millis, Double.POSITIVE_INFINITY);
        int i = 0;
        for (TreeMap<Long, Long> versions : byBalancer.values()) {
            long first = versions.tailMap(version, true).values().stream()
                    .mapToLong(Long::longValue)
                    .min()
                    .orElse(Long.MAX_VALUE);
            if (first != Long.MAX_VALUE && i < balancers) {
                millis[i++] = Math.max(0, (first - at) / 1e3);
            }
        }
        Arrays.sort(millis);
        return new Change((at - from) / 1e6, part(millis, 0.5), part(millis, 0.99), part(millis, 1));
    }

    private static double part(double[] sorted, double part) {
        double found = sorted[Math.max(0, (int) Math.ceil(part * sorted.length) - 1)];
        return Double.isInfinite(found) ? NEVER : found;
    }
}
