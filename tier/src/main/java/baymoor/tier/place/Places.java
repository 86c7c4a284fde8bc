package baymoor.tier.place;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The topology of the tier: a tree of sites, zones and regions whose leaves are balancers. Immutable. */
public final class Places {

    /** The maximum number of children of a group; a commitment acknowledges children in 16 bits. */
    public static final int MAX_CHILDREN = 16;

    /**
     * A site as described in the places file.
     *
     * @param name the name of the site
     * @param zone the name of the zone that contains the site
     * @param balancers the numbers of the balancers at the site
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
     * Creates the topology. The arguments must be consistent, as {@link PlacesReader} ensures; they are not validated.
     *
     * @param sites all sites; each balancer number, counted from 0, belongs to exactly one of them
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

    /** Returns the number of balancers in the tier. */
    public int balancers() {
        return balancers;
    }

    /** Returns all groups of a level. */
    public List<Group> groups(Level level) {
        return groups.get(level.ordinal());
    }

    /** Returns the group of the given level that contains the balancer. */
    public Group group(Level level, int balancer) {
        return groups.get(level.ordinal()).get(groupNumbers[level.ordinal()][balancer]);
    }

    /** Returns the index, within the balancer's group of the given level, of the child that contains the balancer. */
    public int child(Level level, int balancer) {
        return childIndexes[level.ordinal()][balancer];
    }

    /** Returns the balancers below a child of a group, in the order of the places file. */
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
