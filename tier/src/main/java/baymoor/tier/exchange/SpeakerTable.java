package baymoor.tier.exchange;

import baymoor.tier.message.Digest;
import baymoor.tier.message.GroupMessage;
import baymoor.tier.place.Group;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.Arrays;
import java.util.List;

/** Which balancer speaks for which child of a balancer's groups, as last heard; and who may speak for it at all. */
final class SpeakerTable {

    private final Places places;
    private final int balancer;
    private final int[][] speakers = new int[Level.COUNT][Places.LARGEST_GROUP];

    SpeakerTable(Places places, int balancer) {
        this.places = places;
        this.balancer = balancer;
        for (int[] level : speakers) {
            Arrays.fill(level, Digest.UNKNOWN);
        }
    }

    /** The last known speaker of a child; {@link Digest#UNKNOWN} where there is none. */
    int of(Level level, int child) {
        return speakers[level.ordinal()][child];
    }

    /** Takes over who spoke, and whom a holder names as the speakers one level up. */
    void heard(GroupMessage message) {
        speakers[message.level().ordinal()][message.child()] = message.speaker();
        if (message.digest() != null && !message.level().isTop()) {
            learn(message.level().above(), message.digest().speakers());
        }
    }

    private void learn(Level level, List<Integer> told) {
        int children = places.group(level, balancer).children().size();
        for (int child = 0; child < Math.min(children, told.size()); child++) {
            if (maySpeak(level, child, told.get(child))) {
                speakers[level.ordinal()][child] = told.get(child);
            }
        }
    }

    private boolean maySpeak(Level level, int child, int speaker) {
        return speaker < places.balancers()
                && places.group(level, speaker) == places.group(level, balancer)
                && places.child(level, speaker) == child;
    }

    /** Whether a message can be what it says: from a sibling, by a balancer below it, for no more members than it has. */
    boolean mayHaveSpoken(int sender, GroupMessage message) {
        Group group = places.group(message.level(), balancer);
        int children = group.children().size();
        return message.group() == group.number()
                && message.child() < children
                && message.vote() < children
                && message.child() != places.child(message.level(), balancer)
                && maySpeak(message.level(), message.child(), message.speaker())
                && message.totals().members() <= group.sizes().get(message.child())
                && (sender == message.speaker() || message.hops() > 0);
    }
}
