package baymoor;

import baymoor.link.Time;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A clock that a test moves. */
public final class ManualTime implements Time {
    private record Due(long at, int number, Runnable task) {}

    private final List<Due> timers = new ArrayList<>();
    /** How long what is told now may have waited. */
    public long waited;

    private long now = 1_000_000;
    private int number;

    @Override
    public long now() {
        return now;
    }

    @Override
    public long came() {
        return now - waited;
    }

    @Override
    public Timer after(long micros, Runnable task) {
        Due due = new Due(now + Math.max(0, micros), number++, task);
        timers.add(due);
        return () -> timers.remove(due);
    }

    /** Moves on and runs what falls due, in order. */
    public void pass(long micros) {
        long end = now + micros;
        while (true) {
            Due next = timers.stream()
                    .filter(d -> d.at <= end)
                    .min(Comparator.comparingLong(Due::at).thenComparingInt(Due::number))
                    .orElse(null);
            if (next == null) {
                now = end;
                return;
            }
            timers.remove(next);
            now = next.at;
            next.task.run();
        }
    }
}
