package baymoor.emulator.world;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.emulator.ManualTime;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Checks core sharing, slots and the queue with cases that can be computed by hand. */
public class ProcessorSharingServerTest {

    private final ManualTime time = new ManualTime();
    private final long start = time.now();
    private final List<String> completions = new ArrayList<>();

    private ProcessorSharingServer.Job job(String name, double work) {
        return new ProcessorSharingServer.Job() {
            @Override
            public double begin() {
                return work;
            }

            @Override
            public void completed() {
                completions.add(name + "@" + (time.now() - start));
            }
        };
    }

    private ProcessorSharingServer server(int cores, int slots, int queueLimit, double speed) {
        return new ProcessorSharingServer(time, cores, slots, queueLimit, speed, 0, 1);
    }

    @Test
    public void singleJobRunsAtTheSpeedOfOneCore() {
        server(2, 4, 0, 2).offer(job("a", 1000));
        time.pass(10_000);
        assertEquals(List.of("a@500"), completions);
    }

    @Test
    public void jobsShareTheCoresEvenly() {
        ProcessorSharingServer server = server(1, 4, 0, 1);
        server.offer(job("a", 1000));
        server.offer(job("b", 1000));
        time.pass(500);
        server.offer(job("c", 250));
        time.pass(10_000);
        // Half a core each for 500 us, then a third each: c completes after 750 us more, when a and b have 500 us of
        // work left.
        assertEquals(List.of("c@1250", "a@2250", "b@2250"), completions);
    }

    @Test
    public void queuesJobsBeyondTheSlotsAndRejectsThemBeyondTheQueueLimit() {
        ProcessorSharingServer server = server(1, 1, 1, 1);
        assertTrue(server.offer(job("a", 100)));
        assertTrue(server.offer(job("b", 100)));
        assertFalse(server.offer(job("c", 100)));
        assertEquals(1, server.runningCount());
        assertEquals(1, server.waitingCount());
        time.pass(1000);
        assertEquals(List.of("a@100", "b@200"), completions);
    }

    @Test
    public void zeroSpeedSuspendsJobsAndKeepsCompletedWork() {
        ProcessorSharingServer server = server(1, 2, 0, 1);
        server.offer(job("a", 1000));
        time.pass(400);
        server.setSpeedFactor(0);
        time.pass(5000);
        assertEquals(List.of(), completions);
        server.setSpeedFactor(0.5);
        time.pass(5000);
        assertEquals(List.of("a@6600"), completions);
        assertEquals(1000, server.completedWork(), 1);
    }

    @Test
    public void overcommittedCoresRunSlower() {
        ProcessorSharingServer server = new ProcessorSharingServer(time, 1, 4, 0, 1, 0.5, 2);
        for (int i = 0; i < 4; i++) {
            server.offer(job("j", 100));
        }
        time.pass(10_000);
        // Four jobs on one core, two above the threshold of two, with a penalty of 0.5 each: half the speed.
        assertEquals(List.of("j@800", "j@800", "j@800", "j@800"), completions);
    }

    @Test
    public void clearedJobsNeverComplete() {
        ProcessorSharingServer server = server(1, 1, 5, 1);
        server.offer(job("a", 100));
        server.offer(job("b", 100));
        server.clear();
        time.pass(10_000);
        assertEquals(List.of(), completions);
        assertEquals(0, server.runningCount() + server.waitingCount());
    }
}
