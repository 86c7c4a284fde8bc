package baymoor.tier.place;

import java.util.List;

/**
 * One group of the tier.
 *
 * @param level what kind of place it is
 * @param number its index among the groups of its level
 * @param name as the operators call it
 * @param children numbers of balancers for a site, of groups one level down for all others
 * @param sizes the number of balancers below each child
 */
public record Group(Level level, int number, String name, List<Integer> children, List<Integer> sizes) {

    public Group {
        children = List.copyOf(children);
        sizes = List.copyOf(sizes);
    }

    /** The number of balancers in the group. */
    public int members() {
        return sizes.stream().mapToInt(Integer::intValue).sum();
    }
}
