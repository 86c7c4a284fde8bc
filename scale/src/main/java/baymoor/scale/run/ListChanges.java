package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

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
     * @param balancers  that should know of each change, but for those that did not run until they started with it
     */
    List<Change> changes(long fromMicros, long toMicros, List<Totals.KnownVersion> known, int balancers) {
        Map<Integer, List<Totals.KnownVersion>> byBalancer = known.stream()
                .sorted(Comparator.comparingLong(Totals.KnownVersion::atMicros))
                .collect(Collectors.groupingBy(Totals.KnownVersion::balancer));
        List<Change> changes = new ArrayList<>();
        shown.forEach((version, at) -> {
            if (at >= fromMicros && at <= toMicros) {
                changes.add(change(version, at, fromMicros, byBalancer, balancers));
            }
        });
        return changes;
    }

    private static Change change(
            long version, long at, long from, Map<Integer, List<Totals.KnownVersion>> byBalancer, int balancers) {
        int expected = balancers;
        List<Double> millis = new ArrayList<>();
        for (List<Totals.KnownVersion> told : byBalancer.values()) {
            Optional<Totals.KnownVersion> first =
                    told.stream().filter(known -> known.version() >= version).findFirst();
            if (first.isPresent() && first.get().atStart()) {
                expected--;
            } else if (first.isPresent()) {
                // A balancer may be told of a change before the tool has looked at the version again.
                millis.add(Math.max(0, first.get().atMicros() - at) / 1e3);
            }
        }
        Collections.sort(millis);
        return new Change(
                (at - from) / 1e6,
                part(millis, expected, 0.5),
                part(millis, expected, 0.99),
                part(millis, expected, 1));
    }

    private static double part(List<Double> sorted, int expected, double part) {
        int place = Math.max(0, (int) Math.ceil(part * expected) - 1);
        return place < sorted.size() ? sorted.get(place) : NEVER;
    }
}
