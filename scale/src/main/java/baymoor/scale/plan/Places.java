package baymoor.scale.plan;

import java.util.ArrayList;
import java.util.List;

/**
 * Where the balancers stand. Balancers are dealt out to the zones in turn, and within a zone to its sites in turn, so that the
 * place of each follows from its number.
 *
 * @param regions names, without repeats
 * @param zones   in the order in which balancers are dealt out to them
 */
public record Places(List<String> regions, List<Zone> zones) {

    private static final double LEAST_WEIGHT = 0.5;

    /** @param sites of the zone, at least one */
    public record Zone(String name, int region, int sites) {}

    public Places {
        regions = List.copyOf(regions);
        zones = List.copyOf(zones);
    }

    /** The zone of a balancer. */
    public int zoneOf(int balancer) {
        return balancer % zones.size();
    }

    /** The site of a balancer, as a number over all zones. */
    public int siteOf(int balancer) {
        int zone = zoneOf(balancer);
        int before = 0;
        for (int z = 0; z < zone; z++) {
            before += zones.get(z).sites();
        }
        return before + balancer / zones.size() % zones.get(zone).sites();
    }

    /** The region of a balancer. */
    public int regionOf(int balancer) {
        return zones.get(zoneOf(balancer)).region();
    }

    /** Sites of all zones. */
    public int siteCount() {
        return zones.stream().mapToInt(Zone::sites).sum();
    }

    /** The zones' names, in their order. */
    public List<String> zoneNames() {
        return zones.stream().map(Zone::name).toList();
    }

    /**
     * What the balancers of a zone are asked, against the mean of all: from half to one and a half times that, so that what a
     * request costs shows between them.
     */
    public double weightOf(int zone) {
        return zones.size() == 1 ? 1 : LEAST_WEIGHT + (double) zone / (zones.size() - 1);
    }

    /** The zones of a region. */
    public List<Integer> zonesOfRegion(int region) {
        List<Integer> found = new ArrayList<>();
        for (int z = 0; z < zones.size(); z++) {
            if (zones.get(z).region() == region) {
                found.add(z);
            }
        }
        return found;
    }
}
