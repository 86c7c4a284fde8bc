package baymoor.tier.place;

import java.util.List;

/**
 * A group of the tier's topology: a site, a zone, a region or the whole tier. Immutable.
 *
 * @param level the level of the group in the topology
 * @param number the index of the group among the groups of its level
 * @param name the name from the places file, or {@code tier} for the root
 * @param children the numbers of the children: balancers for a site, groups of the next lower level otherwise
 * @param sizes the number of balancers below each child, in the order of {@code children}
 */
public record Group(Level level, int number, String name, List<Integer> children, List<Integer> sizes) {

    public Group {
        children = List.copyOf(children);
        sizes = List.copyOf(sizes);
    }

    /** Returns the number of balancers in the group. */
    public int members() {
        return sizes.stream().mapToInt(Integer::intValue).sum();
    }
}
