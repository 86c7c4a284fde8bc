package baymoor.scale.run;

import baymoor.link.Time;
import baymoor.net.DecisionThread;

/** The clock and timers of a thread, slowed down as the run's clock is. */
final class SlowedTime implements Time {

    private final DecisionThread thread;
    private final int slowdown;

    SlowedTime(DecisionThread thread, int slowdown) {
        this.thread = thread;
        this.slowdown = slowdown;
    }

    @Override
    public long now() {
        return thread.now() / slowdown;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        return thread.schedule(micros * slowdown, task);
    }
}
