package baymoor.emulator.engine;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A simulated single-threaded process: it executes one event at a time, each for a fixed processor time, and queues events
 * that arrive while it is busy. Termination drops all queued events and pending timers; the process can then be restarted.
 *
 * <p>Not thread-safe: called on the thread that runs the {@link Engine}.
 */
public final class VirtualProcess implements Time {

    private final Engine engine;
    private final String name;
    private final int zone;
    private final boolean client;
    private final long costMicros;
    private final Consumer<Throwable> failureHandler;
    private final ArrayDeque<PostedTask> queue = new ArrayDeque<>();
    private final ArrayDeque<ImmediateTask> immediateTasks = new ArrayDeque<>();
    private boolean running;
    private boolean turnScheduled;
    private boolean alive = true;
    private int incarnation;
    private long busyUntil;
    private long came;

    /** A queued task and the virtual time at which it was posted. */
    private record PostedTask(long postedMicros, Runnable task) {}

    /**
     * Creates a running process.
     *
     * @param client whether it is outside the networks of the zones, as clients are
     * @param costMicros processor time of each event
     * @param failureHandler gets what a task threw; later tasks still run
     */
    public VirtualProcess(
            Engine engine, String name, int zone, boolean client, long costMicros, Consumer<Throwable> failureHandler) {
        this.engine = engine;
        this.name = name;
        this.zone = zone;
        this.client = client;
        this.costMicros = costMicros;
        this.failureHandler = failureHandler;
    }

    /** Returns the name used in the event log. */
    public String name() {
        return name;
    }

    /** Returns the index of its zone. */
    public int zone() {
        return zone;
    }

    /** Returns whether it is outside the networks of the zones. */
    public boolean client() {
        return client;
    }

    /** Returns whether it is running. */
    public boolean alive() {
        return alive;
    }

    /** Terminates the process at once and drops its queued events and timers. */
    public void terminate() {
        alive = false;
        incarnation++;
        queue.clear();
        immediateTasks.clear();
        turnScheduled = false;
        busyUntil = 0;
    }

    /** Starts a new incarnation of a terminated process. */
    public void restart() {
        alive = true;
    }

    /** Suspends the process for a duration; events that arrive meanwhile are queued. */
    public void stall(long micros) {
        busyUntil = Math.max(busyUntil, engine.now()) + micros;
    }

    @Override
    public long now() {
        return engine.now();
    }

    @Override
    public long earliestArrivalMicros() {
        return came;
    }

    /** Posts an event to the current incarnation; dropped if that has terminated before the event is executed. */
    public void post(Runnable task) {
        if (!alive) {
            return;
        }
        if (costMicros == 0 && !running && queue.isEmpty() && engine.now() >= busyUntil) {
            execute(new PostedTask(engine.now(), task));
        } else {
            queue.add(new PostedTask(engine.now(), task));
            scheduleTurn();
        }
    }

    private void scheduleTurn() {
        if (!turnScheduled) {
            turnScheduled = true;
            int expectedIncarnation = incarnation;
            engine.scheduleUnaligned(busyUntil, () -> runTurn(expectedIncarnation));
        }
    }

    private void runTurn(int expectedIncarnation) {
        if (expectedIncarnation != incarnation) {
            return;
        }
        turnScheduled = false;
        if (engine.now() >= busyUntil && !queue.isEmpty()) {
            execute(queue.poll());
        }
        if (expectedIncarnation == incarnation && !queue.isEmpty()) {
            scheduleTurn();
        }
    }

    private void execute(PostedTask posted) {
        int expectedIncarnation = incarnation;
        running = true;
        busyUntil = Math.max(busyUntil, engine.now() + costMicros);
        came = posted.postedMicros;
        runTask(posted.task);
        came = engine.now();
        while (expectedIncarnation == incarnation && !immediateTasks.isEmpty()) {
            ImmediateTask next = immediateTasks.poll();
            if (next.task != null) {
                runTask(next.task);
            }
        }
        running = false;
    }

    private void runTask(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError e) {
            failureHandler.accept(e);
        }
    }

    private static final class ImmediateTask implements Timer {
        private Runnable task;

        ImmediateTask(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        if (micros <= 0 && running) {
            ImmediateTask next = new ImmediateTask(task);
            immediateTasks.add(next);
            return next;
        }
        int expectedIncarnation = incarnation;
        Engine.Event event = engine.after(micros, () -> {
            if (expectedIncarnation == incarnation) {
                post(task);
            }
        });
        return event::cancel;
    }
}
