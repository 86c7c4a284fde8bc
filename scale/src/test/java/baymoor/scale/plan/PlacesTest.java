package baymoor.scale.plan;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Test;

/** The place of a balancer follows from its number. */
public class PlacesTest {

    private final Places places = new Places(
            List.of("north", "south"),
            List.of(new Places.Zone("n1", 0, 2), new Places.Zone("s1", 1, 1), new Places.Zone("n2", 0, 3)));

    @Test
    public void balancersAreDealtOutInTurn() {
        assertEquals(0, places.zoneOf(0));
        assertEquals(1, places.zoneOf(4));
        assertEquals(1, places.regionOf(4));
        assertEquals(List.of(0, 2), places.zonesOfRegion(0));
    }

    @Test
    public void sitesAreNumberedOverAllZones() {
        assertEquals(0, places.siteOf(0));
        assertEquals(1, places.siteOf(3));
        assertEquals(0, places.siteOf(6));
        assertEquals(2, places.siteOf(1));
        assertEquals(2, places.siteOf(4));
        assertEquals(3, places.siteOf(2));
        assertEquals(5, places.siteOf(8));
        assertEquals(6, places.siteCount());
    }

    @Test
    public void zonesAreAskedFromHalfToOneAndAHalfTimesTheMean() {
        assertEquals(0.5, places.weightOf(0), 1e-9);
        assertEquals(1.0, places.weightOf(1), 1e-9);
        assertEquals(1.5, places.weightOf(2), 1e-9);
    }
}
