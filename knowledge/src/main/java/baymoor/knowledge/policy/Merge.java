package baymoor.knowledge.policy;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Item;
import baymoor.knowledge.data.Knowledge.Key;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToLongFunction;

/**
 * Puts what two instances know together: of each item the one that says more, whole. Means of two would count one
 * observation twice when knowledge comes round again; a choice does not, so merging is commutative, associative and
 * idempotent, and no item is ever younger than its source.
 */
public final class Merge {

    /** The newer process first; then the later learned; then the better supported; then by figures, so that order is total. */
    private static final Comparator<Host> HOSTS = Comparator.comparingLong(Host::since)
            .thenComparing(Merge::byItem)
            .thenComparingDouble(Host::latencyMicros)
            .thenComparingDouble(Host::limit)
            .thenComparingDouble(Host::failing)
            .thenComparing(Host::out);

    private static final Comparator<Key> KEYS =
            Comparator.<Key>comparingInt(k -> 0).thenComparing(Merge::byItem).thenComparingDouble(Key::rate);
    private static final Comparator<Knowledge.Origin> ORIGINS = Comparator.<Knowledge.Origin>comparingInt(o -> 0)
            .thenComparing(Merge::byItem)
            // Of two that are alike the lower is taken: too much asked of the origin hurts everyone.
            .thenComparing(
                    Comparator.comparingDouble(Knowledge.Origin::perSecond).reversed())
            .thenComparingDouble(Knowledge.Origin::quickMicros);

    private Merge() {}

    private static int byItem(Item a, Item b) {
        int byTime = Long.compare(a.learnedAt(), b.learnedAt());
        return byTime != 0 ? byTime : Double.compare(a.support(), b.support());
    }

    /** The knowledge of two instances put together. */
    public static Knowledge of(Knowledge a, Knowledge b) {
        TreeSet<String> names = new TreeSet<>(List.of(a.instance().split("\\+")));
        names.addAll(List.of(b.instance().split("\\+")));
        Knowledge.Origin origin = a.origin() == null
                ? b.origin()
                : b.origin() == null
                        ? a.origin()
                        : ORIGINS.compare(a.origin(), b.origin()) >= 0 ? a.origin() : b.origin();
        return new Knowledge(
                String.join("+", names),
                Math.min(a.takenAt(), b.takenAt()),
                Math.max(a.upFor(), b.upFor()),
                better(a.hosts(), b.hosts(), Host::id, HOSTS),
                better(a.keys(), b.keys(), Key::key, KEYS),
                origin);
    }

    private static <T> List<T> better(List<T> a, List<T> b, ToLongFunction<T> id, Comparator<T> more) {
        TreeMap<Long, T> all = new TreeMap<>();
        for (List<T> items : List.of(a, b)) {
            for (T item : items) {
                all.merge(id.applyAsLong(item), item, (x, y) -> more.compare(x, y) >= 0 ? x : y);
            }
        }
        return new ArrayList<>(all.values());
    }
}
