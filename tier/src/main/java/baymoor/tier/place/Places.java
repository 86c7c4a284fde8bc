package baymoor.tier.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Where each balancer stands: the tree of groups from sites to the whole tier. Immutable. */
public final class Places {

    /** The most children of a group: acknowledgements of all of them fit 16 bits. */
    public static final int LARGEST_GROUP = 16;

    /**
     * A site as an operator describes it.
     *
     * @param balancers the numbers of its balancers
     */
    public record Site(String name, String zone, List<Integer> balancers) {
        public Site {
            balancers = List.copyOf(balancers);
        }
    }

    private final List<List<Group>> groups;
    private final int balancers;
    private final int[][] groupNumbers;
    private final int[][] childIndexes;

    /**
     * Builds the tree. The arguments are checked by {@link PlacesReader}; here they are taken as consistent.
     *
     * @param sites all sites, with each balancer number from 0 in exactly one
     * @param regionByZone the region of each zone
     */
    public Places(List<Site> sites, Map<String, String> regionByZone) {
        Map<String, List<Integer>> sitesByZone = new LinkedHashMap<>();
        Map<String, List<Integer>> zonesByRegion = new LinkedHashMap<>();
        List<Group> siteGroups = new ArrayList<>();
        for (Site site : sites) {
            sitesByZone.computeIfAbsent(site.zone(), z -> new ArrayList<>()).add(siteGroups.size());
            List<Integer> sizes = site.balancers().stream().map(b -> 1).toList();
            siteGroups.add(new Group(Level.SITE, siteGroups.size(), site.name(), site.balancers(), sizes));
        }
        List<Group> zoneGroups = createGroups(Level.ZONE, sitesByZone, siteGroups);
        for (Group zone : zoneGroups) {
            zonesByRegion
                    .computeIfAbsent(regionByZone.get(zone.name()), r -> new ArrayList<>())
                    .add(zone.number());
        }
        List<Group> regionGroups = createGroups(Level.REGION, zonesByRegion, zoneGroups);
        List<Integer> regionNumbers = regionGroups.stream().map(Group::number).toList();
        List<Group> tierGroups = createGroups(Level.TIER, Map.of("tier", regionNumbers), regionGroups);
        groups = List.of(siteGroups, zoneGroups, regionGroups, tierGroups);
        balancers = tierGroups.get(0).members();
        groupNumbers = new int[Level.COUNT][balancers];
        childIndexes = new int[Level.COUNT][balancers];
        indexBalancers();
    }

    private static List<Group> createGroups(Level level, Map<String, List<Integer>> children, List<Group> childGroups) {
        List<Group> levelGroups = new ArrayList<>();
        children.forEach((name, numbers) -> {
            List<Integer> sizes =
                    numbers.stream().map(n -> childGroups.get(n).members()).toList();
            levelGroups.add(new Group(level, levelGroups.size(), name, numbers, sizes));
        });
        return List.copyOf(levelGroups);
    }

    private void indexBalancers() {
        for (Group site : groups.get(Level.SITE.ordinal())) {
            for (int child = 0; child < site.children().size(); child++) {
                int balancer = site.children().get(child);
                groupNumbers[0][balancer] = site.number();
                childIndexes[0][balancer] = child;
            }
        }
        for (int level = 1; level < Level.COUNT; level++) {
            for (Group group : groups.get(level)) {
                for (int balancer = 0; balancer < balancers; balancer++) {
                    int child = group.children().indexOf(groupNumbers[level - 1][balancer]);
                    if (child >= 0) {
                        groupNumbers[level][balancer] = group.number();
                        childIndexes[level][balancer] = child;
                    }
                }
            }
        }
    }

    /** The number of balancers of the tier. */
    public int balancers() {
        return balancers;
    }

    /** All groups of a level. */
    public List<Group> groups(Level level) {
        return groups.get(level.ordinal());
    }

    /** The group of a level that a balancer stands in. */
    public Group group(Level level, int balancer) {
        return groups.get(level.ordinal()).get(groupNumbers[level.ordinal()][balancer]);
    }

    /** The index of the child of that group below which the balancer stands. */
    public int child(Level level, int balancer) {
        return childIndexes[level.ordinal()][balancer];
    }

    /** The balancers below a child of a group, in the order of the file. */
    public List<Integer> balancersBelow(Group group, int child) {
        if (group.level() == Level.SITE) {
            return List.of(group.children().get(child));
        }
        Group childGroup =
                groups.get(group.level().ordinal() - 1).get(group.children().get(child));
        List<Integer> balancersBelow = new ArrayList<>();
        for (int grandchild = 0; grandchild < childGroup.children().size(); grandchild++) {
            balancersBelow.addAll(balancersBelow(childGroup, grandchild));
        }
        return balancersBelow;
    }
}
