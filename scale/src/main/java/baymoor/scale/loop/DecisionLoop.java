package baymoor.scale.loop;

import baymoor.link.Time;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Arrays;
import java.util.Iterator;
import java.util.PriorityQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;

/**
 * One thread that owns all state of some balancers: their sockets, timers and state machines. Each event counts as one kind of
 * {@link Work}; a timer is of the kind of the event that set it.
 */
public final class DecisionLoop implements Time, Runnable {

    /** What a socket does when its selector says that it can. */
    public interface Ready {
        /** The selector has found a key ready. */
        void ready(SelectionKey key) throws IOException;
    }

    /** The clock's first reading: high enough that starts of hosts long before this program's are above 0. */
    private static final long ORIGIN_MICROS = 1_000_000_000_000L;

    private static final long MICROS_A_MILLI = 1_000;
    private static final long LONGEST_LATENESS_MICROS = 60_000_000;
    /** Timers run in a row before sockets are looked at again. */
    private static final int MOST_TIMERS = 256;

    private final Selector selector;
    private final ConcurrentLinkedQueue<Runnable> posted = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>();
    private final Consumer<String> log;
    private final RunClock clock;
    private final LongSupplier nanoTime;
    private final long startMicros;
    private final long[] nanos = new long[Work.values().length];
    private final Histogram lateness = new Histogram(LONGEST_LATENESS_MICROS, 2);
    private final Thread thread;
    private long now = ORIGIN_MICROS;
    private long sequence;
    private Work work = Work.CONTROL;
    private volatile boolean stopped;

    public DecisionLoop(String name, RunClock clock, Consumer<String> log) throws IOException {
        this(name, clock, log, System::nanoTime);
    }

    /**
     * A loop that measures the time of its events by a clock of the caller's.
     *
     * @param nanoTime what that clock shows, in nanoseconds from any origin
     */
    DecisionLoop(String name, RunClock clock, Consumer<String> log, LongSupplier nanoTime) throws IOException {
        this.nanoTime = nanoTime;
        this.clock = clock;
        startMicros = clock.micros();
        selector = Selector.open();
        this.log = log;
        thread = new Thread(this, name);
        thread.setDaemon(true);
    }

    private static final class Due implements Timer, Comparable<Due> {
        private final long atMicros;
        private final long number;
        private final Work work;
        private Runnable task;

        Due(long atMicros, long number, Work work, Runnable task) {
            this.atMicros = atMicros;
            this.number = number;
            this.work = work;
            this.task = task;
        }

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

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    Selector selector() {
        return selector;
    }

    /** Hands a task to this thread, from any thread. */
    public void post(Runnable task) {
        posted.add(task);
        selector.wakeup();
    }

    /** The run's clock, by which this one goes. */
    public RunClock clock() {
        return clock;
    }

    /** Ends the thread after the present event. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    @Override
    public long now() {
        return now;
    }

    /** What the clock shows now. */
    public long read() {
        return ORIGIN_MICROS + clock.micros() - startMicros;
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        return after(micros, work, task);
    }

    /** Runs a task after a delay as work of a kind. */
    public Timer after(long micros, Work kind, Runnable task) {
        Due due = new Due(micros <= 0 ? 0 : now + micros, sequence++, kind, task);
        timers.add(due);
        return due;
    }

    /** The kind of work of the present event. */
    public Work work() {
        return work;
    }

    /** Does something within the present event as work of another kind. */
    public void as(Work kind, Runnable task) {
        Work before = work;
        long began = nanoTime.getAsLong();
        work = kind;
        try {
            task.run();
        } finally {
            long spent = nanoTime.getAsLong() - began;
            nanos[kind.ordinal()] += spent;
            nanos[before.ordinal()] -= spent;
            work = before;
        }
    }

    /** Nanoseconds spent on each kind of work so far. On this thread. */
    public long[] spentNanos() {
        return Arrays.copyOf(nanos, nanos.length);
    }

    /** Forgets how late timers were so far. On this thread. */
    public void resetLateness() {
        lateness.reset();
    }

    /** How much later than due timers ran. On this thread. */
    public Histogram lateness() {
        return lateness.copy();
    }

    @Override
    public void run() {
        while (!stopped) {
            try {
                select();
                runPosted();
                runTimers();
            } catch (IOException e) {
                log.accept("selector failed: " + e);
            }
        }
    }

    private void select() throws IOException {
        now = read();
        Due next = timers.peek();
        long waitMicros = next == null ? Long.MAX_VALUE : next.atMicros - now;
        if (waitMicros <= 0 || !posted.isEmpty()) {
            selector.selectNow();
        } else if (next == null) {
            selector.select();
        } else {
            selector.select(Math.max(1, (clock.real(waitMicros) + MICROS_A_MILLI - 1) / MICROS_A_MILLI));
        }
        Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
            SelectionKey key = keys.next();
            keys.remove();
            now = read();
            perform(Work.CONTROL, () -> {
                try {
                    ((Ready) key.attachment()).ready(key);
                } catch (IOException e) {
                    log.accept("socket failed: " + e);
                }
            });
        }
    }

    private void runPosted() {
        for (Runnable task = posted.poll(); task != null; task = posted.poll()) {
            now = read();
            perform(Work.CONTROL, task);
        }
    }

    private void runTimers() {
        now = read();
        for (int i = 0; i < MOST_TIMERS; i++) {
            Due due = timers.peek();
            if (due == null || due.atMicros > now) {
                return;
            }
            timers.poll();
            Runnable task = due.task;
            if (task != null) {
                if (due.atMicros > 0) {
                    lateness.recordValue(Math.min(LONGEST_LATENESS_MICROS, Math.max(0, now - due.atMicros)));
                }
                perform(due.work, task);
                now = read();
            }
        }
    }

    private void perform(Work kind, Runnable task) {
        work = kind;
        long began = nanoTime.getAsLong();
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            log.accept("task failed: " + e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
        }
        nanos[kind.ordinal()] += nanoTime.getAsLong() - began;
        work = Work.CONTROL;
    }
}
