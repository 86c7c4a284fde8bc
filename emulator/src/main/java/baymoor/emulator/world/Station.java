package baymoor.emulator.world;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.PriorityQueue;

/**
 * Cores shared evenly by the jobs in work (processor sharing, at most one core a job), slots for those, and a waiting
 * room; beyond that it turns away. Too many in work make it less efficient. Work is in microseconds of a core of speed 1.
 *
 * <p>All jobs in work get on at the same pace, so one sum of attained work serves for all: a job is done when the sum
 * has grown by its work. An arrival or a departure costs the logarithm of the jobs in work, whatever their number.
 */
final class Station {

    /** A piece of work. */
    interface Job {
        /** It comes out of the waiting room into a slot; gives its work, or less than 0 to drop it. */
        double begin();

        void done();
    }

    private static final double CLOSE_ENOUGH = 1e-3;

    private record Running(double target, long number, Job job) implements Comparable<Running> {
        @Override
        public int compareTo(Running other) {
            int byTarget = Double.compare(target, other.target);
            return byTarget != 0 ? byTarget : Long.compare(number, other.number);
        }
    }

    private final Time time;
    private final int cores;
    private final int slots;
    private final int room;
    private final double speed;
    private final double thrash;
    private final double crowd;
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private double factor = 1;
    private double attained;
    private long advancedTo;
    private long numbers;
    private double done;
    private Time.Timer timer;

    Station(Time time, int cores, int slots, int room, double speed, double thrash, double crowd) {
        this.time = time;
        this.cores = cores;
        this.slots = slots;
        this.room = room;
        this.speed = speed;
        this.thrash = thrash;
        this.crowd = crowd;
        advancedTo = time.now();
    }

    int inWork() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    /** Work done so far. */
    double done() {
        advance();
        return done;
    }

    /** What it can do at its best, work a microsecond, as it is now. */
    double capacity() {
        return cores * speed * factor;
    }

    /** Takes a job, or turns it away. */
    boolean offer(Job job) {
        if (running.size() < slots) {
            advance();
            start(job);
            schedule();
            return true;
        }
        if (waiting.size() >= room) {
            return false;
        }
        waiting.addLast(job);
        return true;
    }

    /** All its cores run at this share of their speed from now on; 0 stops them. */
    void factor(double share) {
        if (share != factor) {
            advance();
            factor = share;
            schedule();
        }
    }

    /** Everything in it is gone. */
    void clear() {
        advance();
        running.clear();
        waiting.clear();
        schedule();
    }

    private void start(Job job) {
        double work = job.begin();
        if (work >= 0) {
            running.add(new Running(attained + work, numbers++, job));
        }
    }

    private double pace() {
        int n = running.size();
        if (n == 0) {
            return 0;
        }
        double crowded = Math.max(0, (double) n / cores - crowd);
        return speed * factor * Math.min(1, (double) cores / n) / (1 + thrash * crowded);
    }

    private void advance() {
        long now = time.now();
        if (now > advancedTo) {
            double step = pace() * (now - advancedTo);
            attained += step;
            done += step * running.size();
            advancedTo = now;
        }
    }

    private void schedule() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        Running next = running.peek();
        double pace = pace();
        if (next != null && pace > 0) {
            long wait = (long) Math.ceil(Math.max(0, next.target - attained) / pace);
            timer = time.after(Math.max(1, wait), this::due);
        }
    }

    private void due() {
        timer = null;
        advance();
        ArrayDeque<Job> finished = new ArrayDeque<>();
        while (!running.isEmpty() && running.peek().target <= attained + CLOSE_ENOUGH) {
            finished.add(running.poll().job);
        }
        while (running.size() < slots && !waiting.isEmpty()) {
            start(waiting.pollFirst());
        }
        schedule();
        finished.forEach(Job::done);
    }
}
