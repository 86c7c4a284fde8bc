package baymoor.tier.exchange;

import baymoor.tier.message.Digest;
import baymoor.tier.message.GroupMessage;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.Arrays;
import java.util.List;

/**
 * The last known representative of each child of a balancer's groups. Also validates that a message's sender may represent the
 * child it names. Not thread-safe.
 */
final class RepresentativeTable {

    private final Places places;
    private final int balancer;
    private final int[][] representatives = new int[Level.COUNT][Places.MAX_CHILDREN];

    RepresentativeTable(Places places, int balancer) {
        this.places = places;
        this.balancer = balancer;
        for (int[] level : representatives) {
            Arrays.fill(level, Digest.UNKNOWN);
        }
    }

    /** Returns the last known representative of a child, or {@link Digest#UNKNOWN}. */
    int get(Level level, int child) {
        return representatives[level.ordinal()][child];
    }

    /** Records the representative in a message, and those one level up that its digest names. */
    void update(GroupMessage message) {
        representatives[message.level().ordinal()][message.child()] = message.representative();
        if (message.digest() != null && !message.level().isTop()) {
            updateLevel(message.level().above(), message.digest().representatives());
        }
    }

    private void updateLevel(Level level, List<Integer> announced) {
        int children = places.group(level, balancer).children().size();
        for (int child = 0; child < Math.min(children, announced.size()); child++) {
            if (mayRepresent(level, child, announced.get(child))) {
                representatives[level.ordinal()][child] = announced.get(child);
            }
        }
    }

    private boolean mayRepresent(Level level, int child, int representative) {
        return representative < places.balancers()
                && places.group(level, representative) == places.group(level, balancer)
                && places.child(level, representative) == child;
    }

    /**
     * Returns whether a message is consistent with the places: it comes from a sibling, its representative belongs to that
     * sibling, and it counts no more members than the sibling has.
     */
    boolean isPlausible(int sender, GroupMessage message) {
        Group group = places.group(message.level(), balancer);
        int children = group.children().size();
        return message.group() == group.number()
                && message.child() < children
                && message.vote() < children
                && message.child() != places.child(message.level(), balancer)
                && mayRepresent(message.level(), message.child(), message.representative())
                && message.totals().members() <= group.sizes().get(message.child())
                && (sender == message.representative() || message.hops() > 0);
    }
}
