package baymoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class DecisionThreadTest {

    @Test
    public void tasksAndTimersRunInOrderAndTheThreadSurvivesFailures() throws InterruptedException {
        Counters counters = new Counters();
        DecisionThread thread = new DecisionThread(counters, line -> {});
        List<String> executed = new CopyOnWriteArrayList<>();
        CountDownLatch finished = new CountDownLatch(1);
        thread.post(() -> {
            thread.schedule(2_000, () -> executed.add("later"));
            thread.schedule(1_000, () -> executed.add("cancelled")).cancel();
            thread.schedule(0, () -> executed.add("after the event"));
            thread.schedule(3_000, finished::countDown);
            executed.add("event");
        });
        thread.post(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        thread.post(() -> {
            throw new OutOfMemoryError("thrown by the test");
        });
        Thread runner = new Thread(thread);
        runner.start();
        assertTrue(finished.await(10, TimeUnit.SECONDS));
        assertEquals(List.of("event", "after the event", "later"), executed);
        assertEquals(2, counters.get(Count.TASK_FAILURES));
        thread.stop();
        runner.join(10_000);
    }

    @Test
    public void tasksPostedDuringAPauseRunBeforeTimersThatFellDueLater() throws InterruptedException {
        DecisionThread thread = new DecisionThread(new Counters(), line -> {});
        List<String> executed = new CopyOnWriteArrayList<>();
        CountDownLatch finished = new CountDownLatch(1);
        thread.post(() -> {
            thread.post(() -> executed.add("answer"));
            // The time since the task began, which may be long on a busy machine.
            long pauseMicros = thread.clockMicros() - thread.now();
            thread.schedule(pauseMicros + 20_000, () -> executed.add("timer"));
            thread.schedule(pauseMicros + 20_000, finished::countDown);
            thread.schedule(0, () -> executed.add("follow-up"));
            while (thread.clockMicros() < thread.now() + pauseMicros + 30_000) {
                Thread.onSpinWait();
            }
        });
        Thread runner = new Thread(thread);
        runner.start();
        assertTrue(finished.await(10, TimeUnit.SECONDS));
        assertEquals(List.of("follow-up", "answer", "timer"), executed);
        thread.stop();
        runner.join(10_000);
    }

    /** Guards against waiters that spin until another thread makes progress, which hang where one thread runs at a time. */
    @Test
    public void theIdleThreadWaitsOnAMonitorNotInAConcurrentQueue() throws InterruptedException {
        DecisionThread thread = new DecisionThread(new Counters(), line -> {});
        CountDownLatch timerScheduled = new CountDownLatch(1);
        thread.post(() -> {
            thread.schedule(60_000_000, () -> {});
            timerScheduled.countDown();
        });
        Thread runner = new Thread(thread);
        runner.start();
        assertTrue(timerScheduled.await(10, TimeUnit.SECONDS));
        while (runner.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }
        assertTrue(Arrays.stream(runner.getStackTrace())
                .noneMatch(frame -> frame.getClassName().startsWith("java.util.concurrent.")));
        thread.stop();
        runner.join(10_000);
    }
}
