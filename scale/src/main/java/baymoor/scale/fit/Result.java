package baymoor.scale.fit;

import java.util.Collections;
import java.util.EnumMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One valid scale run: its size, and the figures of the mean hollow balancer.
 *
 * @param file the file that the result was read from
 * @param seed the run's seed
 */
public record Result(String file, long seed, Map<Dimension, Double> size, SortedMap<String, Double> figures) {

    public Result {
        size = Collections.unmodifiableMap(new EnumMap<>(size));
        figures = Collections.unmodifiableSortedMap(new TreeMap<>(figures));
    }

    double size(Dimension dimension) {
        return size.get(dimension);
    }

    boolean has(String figure) {
        return figures.containsKey(figure);
    }

    double figure(String name) {
        return figures.get(name);
    }
}
