package baymoor.net;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class PauseDetectorTest {

    private final PauseDetector pauseDetector = new PauseDetector();

    @Test
    public void tasksPostedRightAfterAPauseMayHaveArrivedAtItsStart() {
        pauseDetector.recordWakeUp(1_000_000, 1_900_000);
        assertEquals(1_000_000, pauseDetector.earliestArrival(1_901_000));
        assertEquals("posted before the pause", 990_000, pauseDetector.earliestArrival(990_000));
        assertEquals(
                "posted after everything that waited was read", 1_950_000, pauseDetector.earliestArrival(1_950_000));
    }

    @Test
    public void schedulingDelaysAndEarlyWakeUpsAreNotPauses() {
        pauseDetector.recordWakeUp(1_000_000, 1_060_000);
        assertEquals(1_061_000, pauseDetector.earliestArrival(1_061_000));
        pauseDetector.recordWakeUp(2_000_000, 1_500_000); // woken before the timer by a posted task
        assertEquals(1_500_000, pauseDetector.earliestArrival(1_500_000));
    }

    @Test
    public void theLatestPauseReplacesEarlierOnes() {
        pauseDetector.recordWakeUp(1_000_000, 1_500_000);
        pauseDetector.recordWakeUp(1_505_000, 1_700_000);
        assertEquals(
                "what waited during the first pause was read between the two",
                1_505_000,
                pauseDetector.earliestArrival(1_701_000));
        pauseDetector.recordWakeUp(1_710_000, 1_715_000);
        assertEquals(1_505_000, pauseDetector.earliestArrival(1_716_000));
    }
}
