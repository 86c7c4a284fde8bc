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
    private static final long ORIGIN_MICROS = 1_000_000_000_000L;

    /** Due before all else: what belongs to the present event is done before the next one is heard. */
    private static final long AT_ONCE = 0;

    private static final long MICROS_A_MILLI = 1_000;

    /**
     * What has come in and was not looked at yet, under its own monitor. Seen: where one thread of the process runs at a
     * time, a queue of java.util.concurrent held the balancer up for good. Between two steps of a signal its waiter
     * spins, trusting that the other thread goes on meanwhile; a monitor's waiter sleeps.
     */
    private final ArrayDeque<Posted> posted = new ArrayDeque<>();
    /** What was taken over from there. */
    private final ArrayDeque<Posted> queue = new ArrayDeque<>();

    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    private final Counters counters;
    private final Consumer<String> log;
    private final HoldUps holdUps = new HoldUps();
    private long now = ORIGIN_MICROS;
    private long came = ORIGIN_MICROS;
    /** When this thread means to look at the clock next. */
    private long meant = Long.MAX_VALUE;

    private long sequence;
    private volatile boolean stopped;

    public DecisionThread(Counters counters, Consumer<String> log) {
        this.counters = counters;
        this.log = log;
    }

    /** What the drivers handed in, and when. */
    private record Posted(long atMicros, Runnable task) {}

    private static final class Due implements Timer, Comparable<Due> {
        final long atMicros;
        final long number;
        Runnable task;

        Due(long atMicros, long number, Runnable task) {
            this.atMicros = atMicros;
            this.number = number;
            this.task = task;
        }

        /** The place in the queue stays until it is due, but what the task holds is let go. */
        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Due other) {
            int byTime = Long.compare(atMicros, other.atMicros);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }

    /** Hands a task to the decision thread, from any thread. */
    public void post(Runnable task) {
        Posted one = new Posted(read(), task);
        synchronized (posted) {
            posted.add(one);
            posted.notify();
        }
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public long came() {
        return came;
    }

    @Override
    public Timer after(long micros, Runnable task) {
        Due due = new Due(micros <= 0 ? AT_ONCE : now + micros, sequence++, task);
        timers.add(due);
        return due;
    }

    /** What the clock shows now, for the mapping of other clocks onto it. */
    public long read() {
        return ORIGIN_MICROS + (System.nanoTime() - startNanos) / 1000;
    }

    /** Lets {@link #run} return after the present task. */
    public void stop() {
        stopped = true;
        post(() -> {});
    }

    @Override
    public void run() {
        while (!stopped) {
            now = read();
            holdUps.looked(meant, now);
            meant = now;
            came = now;
            Due due = timers.peek();
            Posted next = next();
            // Seen: while this thread was held up, answers that had come in waited here, and the time-outs of their
            // attempts went first. What happened first is told first.
            if (due != null && due.atMicros <= now && (next == null || due.atMicros < next.atMicros)) {
                timers.poll();
                Runnable task = due.task;
                if (task != null) {
                    perform(task);
                }
                continue;
            }
            if (next != null) {
                queue.poll();
                came = holdUps.came(next.atMicros);
                perform(next.task);
            } else {
                meant = due == null ? Long.MAX_VALUE : due.atMicros;
                sleep(due);
            }
        }
    }

    /** The next task that was handed in, or null. */
    private Posted next() {
        if (queue.isEmpty()) {
            synchronized (posted) {
                queue.addAll(posted);
                posted.clear();
            }
        }
        return queue.peek();
    }

    /** Sleeps until something is handed in, or a timer is due (to the millisecond above, as monitors have it). */
    private void sleep(Due due) {
        synchronized (posted) {
            if (!posted.isEmpty()) {
                return;
            }
            try {
                // 0 would be for ever; what is due within a millisecond is waited for that long.
                long millis = due == null ? 0 : (due.atMicros - now + MICROS_A_MILLI - 1) / MICROS_A_MILLI;
                posted.wait(Math.max(due == null ? 0 : 1, millis));
            } catch (InterruptedException e) {
                stopped = true;
            }
        }
    }

    private void perform(Runnable task) {
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
