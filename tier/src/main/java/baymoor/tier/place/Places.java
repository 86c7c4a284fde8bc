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
    private final int[][] groupOf;
    private final int[][] childOf;

    /**
     * Builds the tree. The arguments are checked by {@link PlacesReader}; here they are taken as consistent.
     *
     * @param sites all sites, with each balancer number from 0 in exactly one
     * @param regionOfZone the region of each zone
     */
    public Places(List<Site> sites, Map<String, String> regionOfZone) {
        Map<String, List<Integer>> sitesOfZone = new LinkedHashMap<>();
        Map<String, List<Integer>> zonesOfRegion = new LinkedHashMap<>();
        List<Group> siteGroups = new ArrayList<>();
        for (Site site : sites) {
            sitesOfZone.computeIfAbsent(site.zone(), z -> new ArrayList<>()).add(siteGroups.size());
            List<Integer> ones = site.balancers().stream().map(b -> 1).toList();
            siteGroups.add(new Group(Level.SITE, siteGroups.size(), site.name(), site.balancers(), ones));
        }
        List<Group> zoneGroups = gather(Level.ZONE, sitesOfZone, siteGroups);
        for (Group zone : zoneGroups) {
            zonesOfRegion
                    .computeIfAbsent(regionOfZone.get(zone.name()), r -> new ArrayList<>())
                    .add(zone.number());
        }
        List<Group> regionGroups = gather(Level.REGION, zonesOfRegion, zoneGroups);
        List<Integer> regions = regionGroups.stream().map(Group::number).toList();
        List<Group> tier = gather(Level.TIER, Map.of("tier", regions), regionGroups);
        groups = List.of(siteGroups, zoneGroups, regionGroups, tier);
        balancers = tier.get(0).members();
        groupOf = new int[Level.COUNT][balancers];
        childOf = new int[Level.COUNT][balancers];
        locate();
    }

    private static List<Group> gather(Level level, Map<String, List<Integer>> children, List<Group> below) {
        List<Group> gathered = new ArrayList<>();
        children.forEach((name, numbers) -> {
            List<Integer> sizes =
                    numbers.stream().map(n -> below.get(n).members()).toList();
            gathered.add(new Group(level, gathered.size(), name, numbers, sizes));
        });
        return List.copyOf(gathered);
    }

    private void locate() {
        for (Group site : groups.get(Level.SITE.ordinal())) {
            for (int child = 0; child < site.children().size(); child++) {
                int balancer = site.children().get(child);
                groupOf[0][balancer] = site.number();
                childOf[0][balancer] = child;
            }
        }
        for (int level = 1; level < Level.COUNT; level++) {
            for (Group group : groups.get(level)) {
                for (int balancer = 0; balancer < balancers; balancer++) {
                    int child = group.children().indexOf(groupOf[level - 1][balancer]);
                    if (child >= 0) {
                        groupOf[level][balancer] = group.number();
                        childOf[level][balancer] = child;
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
        return groups.get(level.ordinal()).get(groupOf[level.ordinal()][balancer]);
    }

    /** The index of the child of that group below which the balancer stands. */
    public int child(Level level, int balancer) {
        return childOf[level.ordinal()][balancer];
    }

    /** The balancers below a child of a group, in the order of the file. */
    public List<Integer> balancersBelow(Group group, int child) {
        if (group.level() == Level.SITE) {
            return List.of(group.children().get(child));
        }
        Group below =
                groups.get(group.level().ordinal() - 1).get(group.children().get(child));
        List<Integer> all = new ArrayList<>();
        for (int c = 0; c < below.children().size(); c++) {
            all.addAll(balancersBelow(below, c));
        }
        return all;
    }
}
