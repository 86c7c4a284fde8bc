package baymoor.emulator.engine;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A process in virtual time: takes one event after another, each for a stated time of its processor. What comes in
 * while it is busy waits in order, as it does before a real process. When the process dies, all that waits for it, and
 * every timer it set, is void; it may be born again.
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

    /** What waits for the process, and since when. */
    private record PostedTask(long postedMicros, Runnable task) {}

    /**
     * @param client     whether it stands outside the zones' networks, as clients do
     * @param costMicros processor time for each event
     * @param failureHandler     hears what a task threw, which ends nothing but the task
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

    /** Its name in the event log. */
    public String name() {
        return name;
    }

    /** The number of its zone. */
    public int zone() {
        return zone;
    }

    /** Whether it stands outside the networks of the zones. */
    public boolean client() {
        return client;
    }

    /** Whether its process runs. */
    public boolean alive() {
        return alive;
    }

    /** The process ends at once. */
    public void terminate() {
        alive = false;
        incarnation++;
        queue.clear();
        immediateTasks.clear();
        turnScheduled = false;
        busyUntil = 0;
    }

    /** A new process begins in its place, which knows nothing. */
    public void restart() {
        alive = true;
    }

    /** The process does nothing for a while; what comes in waits. */
    public void stall(long micros) {
        busyUntil = Math.max(busyUntil, engine.now()) + micros;
    }

    @Override
    public long now() {
        return engine.now();
    }

    @Override
    public long came() {
        return came;
    }

    /** Hands an event to the process as it is now; dropped if that process is gone by the time it is taken. */
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
    public Timer after(long micros, Runnable task) {
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
