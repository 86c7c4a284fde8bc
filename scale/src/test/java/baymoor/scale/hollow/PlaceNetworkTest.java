package baymoor.scale.hollow;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.List;
import org.junit.Test;

/** Delays go by the smallest place that holds both ends; cuts are one way, overlap, and count. */
public class PlaceNetworkTest {

    private static final List<Long> NONE = List.of(0L, 0L);

    /** Balancers 0 and 1 at one site, 2 at another of the same zone, 3 in another zone of the region, 4 in another region. */
    private static Assignment assignment(Assignment.Ways ways) {
        return new Assignment(
                "",
                1,
                1,
                List.of(),
                5,
                0,
                List.of(),
                10,
                List.of(0, 0, 0, 1, 2),
                List.of(0, 0, 1, 2, 3),
                List.of(0, 0, 1),
                ways,
                null);
    }

    private final PlaceNetwork network = new PlaceNetwork(
            assignment(new Assignment.Ways(List.of(1L, 1L), List.of(2L, 2L), List.of(3L, 3L), List.of(40L, 50L), 0)),
            1);

    @Test
    public void theSmallestPlaceThatHoldsBothGivesTheDelay() {
        assertFalse(network.plain());
        assertEquals(1, network.delayMicros(0, 1));
        assertEquals(2, network.delayMicros(0, 2));
        assertEquals(3, network.delayMicros(2, 3));
        for (int i = 0; i < 100; i++) {
            long far = network.delayMicros(0, 4);
            assertTrue("" + far, far >= 40 && far <= 50);
        }
    }

    @Test
    public void cutsAreOneWayAndCount() {
        network.cut(0, 1, true);
        network.cut(0, 1, true);
        assertEquals(PlaceNetwork.LOST, network.delayMicros(0, 3));
        assertEquals(3, network.delayMicros(3, 0));
        assertEquals(1, network.delayMicros(0, 1));
        network.cut(0, 1, false);
        assertEquals(PlaceNetwork.LOST, network.delayMicros(0, 3));
        network.cut(0, 1, false);
        assertEquals(3, network.delayMicros(0, 3));
    }

    @Test
    public void soLargeAShareIsLost() {
        PlaceNetwork losing = new PlaceNetwork(assignment(new Assignment.Ways(NONE, NONE, NONE, NONE, 0)), 7);
        assertTrue(losing.plain());
        losing.lose(0.3);
        assertFalse(losing.plain());
        int lost = 0;
        for (int i = 0; i < 10_000; i++) {
            lost += losing.delayMicros(0, 4) == PlaceNetwork.LOST ? 1 : 0;
        }
        assertTrue("" + lost, lost > 2_800 && lost < 3_200);
        losing.lose(0);
        assertEquals(0, losing.delayMicros(0, 4));
    }
}
