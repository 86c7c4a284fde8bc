package baymoor.net;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class PauseDetectorTest {

    private final PauseDetector pauseDetector = new PauseDetector();

    @Test
    public void tasksPostedRightAfterAPauseMayHaveArrivedAtItsStart() {
        pauseDetector.wokeUp(1_000_000, 1_900_000);
        assertEquals(1_000_000, pauseDetector.earliestArrival(1_901_000));
        assertEquals("handed in before it", 990_000, pauseDetector.earliestArrival(990_000));
        assertEquals("all that waited is read by then", 1_950_000, pauseDetector.earliestArrival(1_950_000));
    }

    @Test
    public void schedulingDelaysAndEarlyWakeUpsAreNotPauses() {
        pauseDetector.wokeUp(1_000_000, 1_060_000);
        assertEquals(1_061_000, pauseDetector.earliestArrival(1_061_000));
        pauseDetector.wokeUp(2_000_000, 1_500_000); // woken early, as something came in
        assertEquals(1_500_000, pauseDetector.earliestArrival(1_500_000));
    }

    @Test
    public void theLatestPauseReplacesEarlierOnes() {
        pauseDetector.wokeUp(1_000_000, 1_500_000);
        pauseDetector.wokeUp(1_505_000, 1_700_000);
        assertEquals(
                "what waited through the first was read in between",
                1_505_000,
                pauseDetector.earliestArrival(1_701_000));
        pauseDetector.wokeUp(1_710_000, 1_715_000);
        assertEquals(1_505_000, pauseDetector.earliestArrival(1_716_000));
    }
}
