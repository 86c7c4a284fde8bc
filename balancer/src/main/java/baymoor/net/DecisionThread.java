package baymoor.net;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/** The one thread that owns all state: runs what the drivers hand in, and what falls due, one after another. */
public final class DecisionThread implements Time, Runnable {

    /** The clock's first reading: high enough that starts of hosts long before this program's are above 0. */
    private static final long CLOCK_START_MICROS = 1_000_000_000_000L;

    /** Due before all else: what belongs to the present event is done before the next one is heard. */
    private static final long DUE_IMMEDIATELY = 0;

    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * What has come in and was not looked at yet, under its own monitor. Seen: where one thread of the process runs at a
     * time, a queue of java.util.concurrent held the balancer up for good. Between two steps of a signal its waiter
     * spins, trusting that the other thread goes on meanwhile; a monitor's waiter sleeps.
     */
    private final ArrayDeque<PostedTask> posted = new ArrayDeque<>();
    /** What was taken over from there. */
    private final ArrayDeque<PostedTask> localQueue = new ArrayDeque<>();

    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    private final Counters counters;
    private final Consumer<String> log;
    private final PauseDetector pauseDetector = new PauseDetector();
    private long nowMicros = CLOCK_START_MICROS;
    private long earliestArrivalMicros = CLOCK_START_MICROS;
    /** When this thread means to look at the clock next. */
    private long expectedWakeMicros = Long.MAX_VALUE;

    private long nextSequence;
    private volatile boolean stopped;

    public DecisionThread(Counters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
    }

    /** What the drivers handed in, and when. */
    private record PostedTask(long postedMicros, Runnable task) {}

    private static final class ScheduledTask implements Timer, Comparable<ScheduledTask> {
        final long dueMicros;
        final long sequence;
        Runnable task;

        ScheduledTask(long dueMicros, long sequence, Runnable task) {
            this.dueMicros = dueMicros;
            this.sequence = sequence;
            this.task = task;
        }

        /** The place in the queue stays until it is due, but what the task holds is let go. */
        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(ScheduledTask other) {
            int byDueTime = Long.compare(dueMicros, other.dueMicros);
            return byDueTime != 0 ? byDueTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Hands a task to the decision thread, from any thread. */
    public void post(Runnable task) {
        PostedTask postedTask = new PostedTask(read(), task);
        synchronized (posted) {
            posted.add(postedTask);
            posted.notify();
        }
    }

    @Override
    public long now() {
        return nowMicros;
    }

    @Override
    public long came() {
        return earliestArrivalMicros;
    }

    @Override
    public Timer after(long micros, Runnable task) {
        ScheduledTask timer =
                new ScheduledTask(micros <= 0 ? DUE_IMMEDIATELY : nowMicros + micros, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** What the clock shows now, for the mapping of other clocks onto it. */
    public long read() {
        return CLOCK_START_MICROS + (System.nanoTime() - startNanos) / 1000;
    }

    /** Lets {@link #run} return after the present task. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        while (!stopped) {
            nowMicros = read();
            pauseDetector.wokeUp(expectedWakeMicros, nowMicros);
            expectedWakeMicros = nowMicros;
            earliestArrivalMicros = nowMicros;
            ScheduledTask nextTimer = timers.peek();
            PostedTask nextPosted = peekPosted();
            // Seen: while this thread was held up, answers that had come in waited here, and the time-outs of their
            // attempts went first. What happened first is told first.
            if (nextTimer != null
                    && nextTimer.dueMicros <= nowMicros
                    && (nextPosted == null || nextTimer.dueMicros < nextPosted.postedMicros)) {
                timers.poll();
                Runnable task = nextTimer.task;
                if (task != null) {
                    runTask(task);
                }
                continue;
            }
            if (nextPosted != null) {
                localQueue.poll();
                earliestArrivalMicros = pauseDetector.earliestArrival(nextPosted.postedMicros);
                runTask(nextPosted.task);
            } else {
                expectedWakeMicros = nextTimer == null ? Long.MAX_VALUE : nextTimer.dueMicros;
                awaitWork(nextTimer);
            }
        }
    }

    /** The next task that was handed in, or null. */
    private PostedTask peekPosted() {
        if (localQueue.isEmpty()) {
            synchronized (posted) {
                localQueue.addAll(posted);
                posted.clear();
            }
        }
        return localQueue.peek();
    }

    /** Sleeps until something is handed in, or a timer is due (to the millisecond above, as monitors have it). */
    private void awaitWork(ScheduledTask nextTimer) {
        synchronized (posted) {
            if (!posted.isEmpty()) {
                return;
            }
            try {
                // 0 would be for ever; what is due within a millisecond is waited for that long.
                long millis = nextTimer == null
                        ? 0
                        : (nextTimer.dueMicros - nowMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
                posted.wait(Math.max(nextTimer == null ? 0 : 1, millis));
            } catch (InterruptedException e) {
                stopped = true;
            }
        }
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            // One event that can't be dealt with must not end the balancer, be it for want of memory: without this
            // thread it would hold all connections and answer nothing. The deadline answers what was owed.
            counters.add(Count.TASK_FAILURES);
            log.accept("task failed: " + e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
        }
    }
}
