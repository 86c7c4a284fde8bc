package baymoor.net;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Time;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A single-threaded event loop that owns all state of a balancer: it runs posted tasks and due timers one after another.
 *
 * <p>{@link #post}, {@link #clockMicros} and {@link #stop} may be called from any thread; the methods of {@link Time} only from
 * tasks that this thread runs.
 */
public final class DecisionThread implements Time, Runnable {

    /** The least of the clock's first reading, high enough that hosts which started long before this process have positive times. */
    private static final long CLOCK_START_MICROS = 1_000_000_000_000L;

    /** Due before any posted task, so that follow-up work of the current event runs before the next event. */
    private static final long DUE_IMMEDIATELY = 0;

    private static final long MICROS_PER_MILLI = 1_000;
    /** A task that takes longer than this delays other requests noticeably, and is counted. */
    private static final long SLOW_TASK_MICROS = 100_000;

    /**
     * Tasks posted by other threads, guarded by the deque's monitor. Not a queue of java.util.concurrent: its waiters
     * spin until the signalling thread makes progress, which never ends where only one thread runs at a time.
     */
    private final ArrayDeque<PostedTask> posted = new ArrayDeque<>();
    /** Posted tasks that this thread has taken over and not run yet. */
    private final ArrayDeque<PostedTask> localQueue = new ArrayDeque<>();

    private final PriorityQueue<ScheduledTask> timers = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    /** Differs from process to process, as the decision module tells them apart by the time of their first message. */
    private final long clockStartMicros =
            CLOCK_START_MICROS + TimeUnit.NANOSECONDS.toMicros(Instant.now().getNano());

    private final Counters counters;
    private final Consumer<String> log;
    private final PauseDetector pauseDetector = new PauseDetector();
    private long nowMicros = clockStartMicros;
    private long earliestArrivalMicros = clockStartMicros;
    /** When this thread expects to read the clock next, at the latest. */
    private long expectedWakeMicros = Long.MAX_VALUE;

    private long nextSequence;
    private volatile boolean stopped;

    /** Creates the loop; a {@link Thread} has to {@linkplain #run run} it. Failed tasks are counted and logged. */
    public DecisionThread(Counters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
    }

    /** A task from another thread and the time at which it was posted. */
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

        /** Releases the task; the entry stays in the queue until it is due. */
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

    /** Queues a task for the decision thread. May be called from any thread. */
    public void post(Runnable task) {
        PostedTask postedTask = new PostedTask(clockMicros(), task);
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
    public long earliestArrivalMicros() {
        return earliestArrivalMicros;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        ScheduledTask timer =
                new ScheduledTask(micros <= 0 ? DUE_IMMEDIATELY : nowMicros + micros, nextSequence++, task);
        timers.add(timer);
        return timer;
    }

    /** Reads the clock, in microseconds. May be called from any thread. */
    public long clockMicros() {
        return clockStartMicros + (System.nanoTime() - startNanos) / 1000;
    }

    /** Makes {@link #run} return after the current task. May be called from any thread. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        boolean ranTask = false;
        while (!stopped) {
            long previousMicros = nowMicros;
            nowMicros = clockMicros();
            if (ranTask && nowMicros - previousMicros > SLOW_TASK_MICROS) {
                counters.increment(Count.SLOW_TASKS);
            }
            ranTask = true;
            pauseDetector.recordWakeUp(expectedWakeMicros, nowMicros);
            expectedWakeMicros = nowMicros;
            earliestArrivalMicros = nowMicros;
            ScheduledTask nextTimer = timers.peek();
            PostedTask nextPosted = peekPosted();
            // In order of time: after a stall, a response posted before a timer was due must run before that timer,
            // which may be the timeout of its attempt.
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
                ranTask = false;
                expectedWakeMicros = nextTimer == null ? Long.MAX_VALUE : nextTimer.dueMicros;
                awaitWork(nextTimer);
            }
        }
    }

    /** Returns the oldest posted task without removing it, or null if there is none. */
    private PostedTask peekPosted() {
        if (localQueue.isEmpty()) {
            synchronized (posted) {
                localQueue.addAll(posted);
                posted.clear();
            }
        }
        return localQueue.peek();
    }

    /** Sleeps until a task is posted or the timer is due, rounded up to a millisecond, the resolution of monitors. */
    private void awaitWork(ScheduledTask nextTimer) {
        synchronized (posted) {
            if (!posted.isEmpty()) {
                return;
            }
            try {
                // A timeout of 0 waits without limit, so a timer needs at least 1 ms.
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
            // A failed task, even one that ran out of memory, must not end the thread: the process would keep its
            // connections and answer none of them. Requests that it left pending are answered at their deadlines.
            counters.increment(Count.TASK_FAILURES);
            log.accept("task failed: " + e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
        }
    }
}
