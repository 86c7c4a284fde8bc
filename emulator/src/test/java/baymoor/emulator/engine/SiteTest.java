package baymoor.emulator.engine;

import static org.junit.Assert.assertEquals;

import baymoor.link.Time;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

/** The order of events, which a replay rests on. */
public class SiteTest {

    private final Engine engine = new Engine();
    private final List<String> seen = new ArrayList<>();

    private Site site(long cost) {
        return new Site(engine, "a", 0, false, cost, failure -> seen.add(failure.getMessage()));
    }

    private void see(String what) {
        seen.add(what + "@" + engine.elapsed());
    }

    @Test
    public void atOneMicrosecondWhatWasScheduledFirstComesFirst() {
        engine.after(5, () -> see("first"));
        engine.after(5, () -> see("second"));
        engine.after(4, () -> engine.after(1, () -> see("third")));
        engine.runUntil(engine.now() + 10);
        assertEquals(List.of("first@5", "second@5", "third@5"), seen);
        assertEquals(10, engine.elapsed());
    }

    @Test
    public void whatIsDoneAtOnceComesBeforeAnythingElse() {
        Site site = site(0);
        engine.after(
                1,
                () -> site.post(() -> {
                    site.post(() -> see("posted"));
                    site.after(0, () -> see("at once"));
                    see("task");
                }));
        engine.after(1, () -> see("later"));
        engine.runUntil(engine.now() + 2);
        assertEquals(List.of("task@1", "at once@1", "later@1", "posted@1"), seen);
    }

    @Test
    public void aBusyProcessTakesOneEventAfterAnother() {
        Site site = site(10);
        for (String name : new String[] {"a", "b", "c"}) {
            engine.after(3, () -> site.post(() -> see(name)));
        }
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("a@3", "b@13", "c@23"), seen);
    }

    @Test
    public void whatWaitsForAStalledProcessStillCameWhenItCame() {
        Site site = site(0);
        site.stall(1_000);
        engine.after(300, () -> site.post(() -> see("came " + (site.now() - site.came()) + " before")));
        engine.after(2_000, () -> site.post(() -> see("came " + (site.now() - site.came()) + " before")));
        engine.runUntil(engine.now() + 3_000);
        assertEquals(List.of("came 700 before@1000", "came 0 before@2000"), seen);
    }

    @Test
    public void timersAndEventsOfADeadProcessAreVoidForTheNextOne() {
        Site site = site(10);
        site.after(50, () -> see("old timer"));
        engine.after(5, () -> site.post(() -> see("kept")));
        engine.after(6, () -> site.post(() -> see("waits in vain")));
        engine.after(7, () -> {
            site.die();
            site.post(() -> see("to the dead"));
            site.bear();
            site.post(() -> see("new life"));
        });
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("kept@5", "new life@7"), seen);
    }

    @Test
    public void aStalledProcessMakesUpForItInOrder() {
        Site site = site(0);
        site.stall(20);
        engine.after(1, () -> site.post(() -> see("event")));
        site.after(2, () -> see("timer"));
        engine.runUntil(engine.now() + 100);
        assertEquals(List.of("event@20", "timer@20"), seen);
    }

    @Test
    public void aTaskThatFailsEndsNothingElse() {
        Site site = site(0);
        site.post(() -> {
            site.after(0, () -> see("after"));
            throw new IllegalStateException("broken");
        });
        assertEquals(List.of("broken", "after@0"), seen);
    }

    @Test
    public void aCancelledTimerDoesNothing() {
        Site site = site(0);
        Time.Timer timer = site.after(3, () -> see("timer"));
        timer.cancel();
        engine.runUntil(engine.now() + 10);
        assertEquals(List.of(), seen);
        assertEquals(0, engine.performed());
    }
}
