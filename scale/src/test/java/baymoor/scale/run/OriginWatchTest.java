package baymoor.scale.run;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/** Issue is judged by the second. */
public class OriginWatchTest {

    @Test
    public void theWorstSecondIsKeptBesideTheMean() {
        OriginWatch watch = new OriginWatch(100);
        long fetches = 0;
        double load = 0;
        for (int quarter = 0; quarter <= 40; quarter++) {
            load = watch.read(quarter / 4.0, fetches);
            fetches += quarter >= 20 && quarter < 24 ? 50 : 20;
        }
        assertEquals(0.8, load, 1e-9);
        assertEquals(2.0, watch.overIssue(), 1e-9);
        assertEquals(0.92, watch.use(), 0.03);
    }
}
