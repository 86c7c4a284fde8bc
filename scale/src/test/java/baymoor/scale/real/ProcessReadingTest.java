package baymoor.scale.real;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** What the kernel says of this very process, and of none. */
public class ProcessReadingTest {

    private static final long LEAST_MEMORY = 10_000_000;

    private static ProcessReading own() {
        return ProcessReading.of(ProcessHandle.current().pid());
    }

    @Test
    public void timeOfADecisionThreadIsToldApart() throws InterruptedException {
        ProcessReading before = own();
        long[] spins = new long[1];
        Thread decisions = new Thread(
                () -> {
                    while (!Thread.currentThread().isInterrupted()) {
                        spins[0]++;
                    }
                },
                "decisions");
        decisions.start();
        while (own().cpu().decisions() < 50_000_000) {
            Thread.onSpinWait();
        }
        ProcessReading after = own();
        decisions.interrupt();
        decisions.join();
        assertEquals(0, before.cpu().decisions());
        assertTrue(after.cpu().sum() >= after.cpu().decisions());
        assertTrue(after.memoryBytes() > LEAST_MEMORY);
    }

    @Test
    public void aProcessThatIsGoneHasNothing() {
        assertEquals(0, ProcessReading.of(Long.MAX_VALUE).cpu().sum());
    }
}
