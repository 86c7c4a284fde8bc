package baymoor.emulator.engine;

import static org.junit.Assert.assertEquals;

import baymoor.link.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** Checks the order of events, which deterministic replay depends on. */
public class VirtualProcessTest {

    private final Engine engine = new Engine();
    private final List<String> observed = new ArrayList<>();

    private VirtualProcess process(long cost) {
        return new VirtualProcess(engine, "a", 0, false, cost, failure -> observed.add(failure.getMessage()));
    }

    private void observe(String what) {
        observed.add(what + "@" + engine.elapsedMicros());
    }

    @Test
    public void simultaneousEventsRunInSchedulingOrder() {
        engine.after(5, () -> observe("first"));
        engine.after(5, () -> observe("second"));
        engine.after(4, () -> engine.after(1, () -> observe("third")));
        engine.runUntil(engine.now() + 10);
        assertEquals(List.of("first@5", "second@5", "third@5"), observed);
        assertEquals(10, engine.elapsedMicros());
    }

    @Test
    public void immediateTasksRunBeforeOtherEvents() {
        VirtualProcess process = process(0);
        engine.after(
                1,
                () -> process.post(() -> {
                    process.post(() -> observe("posted"));
                    process.schedule(0, () -> observe("at once"));
                    observe("task");
                }));
        engine.after(1, () -> observe("later"));
        engine.runUntil(engine.now() + 2);
        assertEquals(List.of("task@1", "at once@1", "later@1", "posted@1"), observed);
    }

    @Test
    public void busyProcessRunsEventsOneAtATime() {
        VirtualProcess process = process(10);
        for (String name : new String[] {"a", "b", "c"}) {
            engine.after(3, () -> process.post(() -> observe(name)));
        }
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("a@3", "b@13", "c@23"), observed);
    }

    @Test
    public void eventQueuedDuringAStallKeepsItsArrivalTime() {
        VirtualProcess process = process(0);
        process.stall(1_000);
        engine.after(
                300,
                () -> process.post(
                        () -> observe("came " + (process.now() - process.earliestArrivalMicros()) + " before")));
        engine.after(
                2_000,
                () -> process.post(
                        () -> observe("came " + (process.now() - process.earliestArrivalMicros()) + " before")));
        engine.runUntil(engine.now() + 3_000);
        assertEquals(List.of("came 700 before@1000", "came 0 before@2000"), observed);
    }

    @Test
    public void restartDropsTimersAndEventsOfTheOldProcess() {
        VirtualProcess process = process(10);
        process.schedule(50, () -> observe("old timer"));
        engine.after(5, () -> process.post(() -> observe("kept")));
        engine.after(6, () -> process.post(() -> observe("waits in vain")));
        engine.after(7, () -> {
            process.terminate();
            process.post(() -> observe("to the dead"));
            process.restart();
            process.post(() -> observe("new life"));
        });
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("kept@5", "new life@7"), observed);
    }

    @Test
    public void eventsAndTimersRunInOrderAfterAStall() {
        VirtualProcess process = process(0);
        process.stall(20);
        engine.after(1, () -> process.post(() -> observe("event")));
        process.schedule(2, () -> observe("timer"));
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("event@20", "timer@20"), observed);
    }

    @Test
    public void failingTaskDoesNotStopLaterTasks() {
        VirtualProcess process = process(0);
        process.post(() -> {
            process.schedule(0, () -> observe("after"));
            throw new IllegalStateException("broken");
        });
        assertEquals(List.of("broken", "after@0"), observed);
    }

    @Test
    public void cancelledTimerDoesNotRun() {
        VirtualProcess process = process(0);
        Time.Timer timer = process.schedule(3, () -> observe("timer"));
        timer.cancel();
        engine.runUntil(engine.now() + 10);
        assertEquals(List.of(), observed);
        assertEquals(0, engine.executedEvents());
    }
}
