package baymoor.emulator.engine;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * A process in virtual time: takes one event after another, each for a stated time of its processor. What comes in
 * while it is busy waits in order, as it does before a real process. When the process dies, all that waits for it, and
 * every timer it set, is void; it may be born again.
 */
public final class Site implements Time {

    private final Engine engine;
    private final String name;
    private final int zone;
    private final boolean client;
    private final long costMicros;
    private final Consumer<Throwable> failed;
    private final ArrayDeque<Posted> inbox = new ArrayDeque<>();
    private final ArrayDeque<AtOnce> atOnce = new ArrayDeque<>();
    private boolean performing;
    private boolean turnSet;
    private boolean alive = true;
    private int life;
    private long busyUntil;
    private long came;

    /** What waits for the process, and since when. */
    private record Posted(long atMicros, Runnable task) {}

    /**
     * @param client     whether it stands outside the zones' networks, as clients do
     * @param costMicros processor time for each event
     * @param failed     hears what a task threw, which ends nothing but the task
     */
    public Site(Engine engine, String name, int zone, boolean client, long costMicros, Consumer<Throwable> failed) {
        this.engine = engine;
        this.name = name;
        this.zone = zone;
        this.client = client;
        this.costMicros = costMicros;
        this.failed = failed;
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
    public void die() {
        alive = false;
        life++;
        inbox.clear();
        atOnce.clear();
        turnSet = false;
        busyUntil = 0;
    }

    /** A new process begins in its place, which knows nothing. */
    public void bear() {
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
        if (costMicros == 0 && !performing && inbox.isEmpty() && engine.now() >= busyUntil) {
            perform(new Posted(engine.now(), task));
        } else {
            inbox.add(new Posted(engine.now(), task));
            setTurn();
        }
    }

    private void setTurn() {
        if (!turnSet) {
            turnSet = true;
            int born = life;
            engine.exactly(busyUntil, () -> turn(born));
        }
    }

    private void turn(int born) {
        if (born != life) {
            return;
        }
        turnSet = false;
        if (engine.now() >= busyUntil && !inbox.isEmpty()) {
            perform(inbox.poll());
        }
        if (born == life && !inbox.isEmpty()) {
            setTurn();
        }
    }

    private void perform(Posted posted) {
        int born = life;
        performing = true;
        busyUntil = Math.max(busyUntil, engine.now() + costMicros);
        came = posted.atMicros;
        attempt(posted.task);
        came = engine.now();
        while (born == life && !atOnce.isEmpty()) {
            AtOnce next = atOnce.poll();
            if (next.task != null) {
                attempt(next.task);
            }
        }
        performing = false;
    }

    private void attempt(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError e) {
            failed.accept(e);
        }
    }

    private static final class AtOnce implements Timer {
        private Runnable task;

        AtOnce(Runnable task) {
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }
    }

    @Override
    public Timer after(long micros, Runnable task) {
        if (micros <= 0 && performing) {
            AtOnce next = new AtOnce(task);
            atOnce.add(next);
            return next;
        }
        int born = life;
        Engine.Event event = engine.after(micros, () -> {
            if (born == life) {
                post(task);
            }
        });
        return event::cancel;
    }
}
