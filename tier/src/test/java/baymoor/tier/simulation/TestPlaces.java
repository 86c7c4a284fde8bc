package baymoor.tier.simulation;

import baymoor.tier.place.Places;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Creates tiers of any size with about 13 balancers per site, four sites per zone and at most five regions. */
public final class TestPlaces {

    private static final int SITE_SIZE = 13;
    private static final double SITES_PER_ZONE = 49 / 13.0;

    private TestPlaces() {}

    /** Returns a tier with the given number of balancers, spread as evenly as possible. */
    public static Places of(int balancers) {
        int sites = Math.max(1, (int) Math.round(balancers * 49 / 640.0));
        int zones = Math.max(1, (int) Math.round(sites / SITES_PER_ZONE));
        int regions = Math.max(1, Math.min(5, (int) Math.round(zones * 5 / 13.0)));
        return of(balancers, sites, zones, regions);
    }

    /** Returns a tier with the given numbers of balancers and groups. */
    public static Places of(int balancers, int sites, int zones, int regions) {
        List<Places.Site> all = new ArrayList<>();
        Map<String, String> regionOfZone = new LinkedHashMap<>();
        int next = 0;
        for (int site = 0; site < sites; site++) {
            int end = (int) ((long) balancers * (site + 1) / sites);
            List<Integer> numbers = new ArrayList<>();
            while (next < end) {
                numbers.add(next++);
            }
            int zone = site * zones / sites;
            regionOfZone.put("z" + zone, "r" + zone * regions / zones);
            all.add(new Places.Site("s" + site, "z" + zone, numbers));
        }
        return new Places(all, regionOfZone);
    }

    /** Returns the typical number of balancers per site. */
    public static int defaultSiteSize() {
        return SITE_SIZE;
    }
}
