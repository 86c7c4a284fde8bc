package baymoor;

import baymoor.link.Time;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** A clock and timers that a test advances. */
public final class ManualTime implements Time {
    private record ScheduledTask(long dueMicros, int sequence, Runnable task) {}

    private final List<ScheduledTask> timers = new ArrayList<>();
    /** How long before now the current event may have arrived, in microseconds. */
    public long waited;

    private long nowMicros = 1_000_000;
    private int nextSequence;

    @Override
    public long now() {
        return nowMicros;
    }

    @Override
    public long earliestArrivalMicros() {
        return nowMicros - waited;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        ScheduledTask timer = new ScheduledTask(nowMicros + Math.max(0, micros), nextSequence++, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    /** Advances the clock and runs the timers that fall due, in order. */
    public void advance(long micros) {
        long endMicros = nowMicros + micros;
        while (true) {
            ScheduledTask next = timers.stream()
                    .filter(task -> task.dueMicros <= endMicros)
                    .min(Comparator.comparingLong(ScheduledTask::dueMicros).thenComparingInt(ScheduledTask::sequence))
                    .orElse(null);
            if (next == null) {
                nowMicros = endMicros;
                return;
            }
            timers.remove(next);
            nowMicros = next.dueMicros;
            next.task.run();
        }
    }
}
