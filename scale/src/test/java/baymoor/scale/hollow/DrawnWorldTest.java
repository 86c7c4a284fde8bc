package baymoor.scale.hollow;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.Test;

/** What is drawn follows the plan's figures and the seed. */
public class DrawnWorldTest {

    private static final int DRAWS = 20_000;

    private static DrawnWorld world(long seed) {
        Assignment.Drawn drawn = new Assignment.Drawn(
                List.of(2.0, 8.0),
                100,
                1,
                64,
                List.of(10L, 20L),
                0.25,
                List.of(100L, 100L),
                List.of(
                        new Assignment.RequestKind("read", 0.9, false, 1_000_000, 1),
                        new Assignment.RequestKind("write", 0.1, true, 1_000_000, 1)),
                "t");
        return new DrawnWorld(drawn, 1, seed, DrawnWorld.popularity(100, 1));
    }

    @Test
    public void ratesAndSharesAreThoseOfThePlan() {
        DrawnWorld world = world(1);
        InetSocketAddress router = new InetSocketAddress("127.0.0.1", 1);
        double micros = 0;
        int writes = 0;
        int held = 0;
        for (int i = 0; i < DRAWS; i++) {
            micros += world.nextRequestMicros();
            writes += world.nextKind().write() ? 1 : 0;
            held += world.routerHolds(router) ? 1 : 0;
            long answer = world.routerMicros();
            assertTrue(answer >= 10 && answer <= 20);
        }
        assertEquals(8, DRAWS / (micros / 1e6), 0.3);
        assertEquals(0.1, (double) writes / DRAWS, 0.01);
        assertEquals(0.75, (double) held / DRAWS, 0.02);
        assertEquals(DRAWS, world.requests());
        assertEquals(DRAWS, (long) world.asked().get(router));
    }

    @Test
    public void popularKeysComeMoreOften() {
        DrawnWorld world = world(2);
        int[] counts = new int[100];
        for (int i = 0; i < DRAWS; i++) {
            counts[world.nextKey()]++;
        }
        assertTrue(counts[0] > 1.5 * counts[1]);
        assertTrue(counts[0] > 5 * counts[9]);
    }

    @Test
    public void theOriginGetsSlowerPastItsCapacityOnly() {
        DrawnWorld world = world(3);
        assertEquals(100, world.originMicros());
        world.originLoad(0.8);
        assertEquals(100, world.originMicros());
        world.originLoad(1.8);
        assertEquals(800, world.originMicros());
        assertEquals(3, world.fetches());
    }

    @Test
    public void theSameSeedDrawsTheSame() {
        DrawnWorld one = world(4);
        DrawnWorld other = world(4);
        for (int i = 0; i < 100; i++) {
            assertEquals(one.nextRequestMicros(), other.nextRequestMicros());
            assertEquals(one.nextKey(), other.nextKey());
        }
    }
}
