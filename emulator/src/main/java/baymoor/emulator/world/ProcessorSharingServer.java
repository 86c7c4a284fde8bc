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
final class ProcessorSharingServer {

    /** A piece of work. */
    interface Job {
        /** It comes out of the waiting room into a slot; gives its work, or less than 0 to drop it. */
        double begin();

        void completed();
    }

    private static final double WORK_TOLERANCE = 1e-3;

    private record Running(double targetWork, long sequence, Job job) implements Comparable<Running> {
        @Override
        public int compareTo(Running other) {
            int byTarget = Double.compare(targetWork, other.targetWork);
            return byTarget != 0 ? byTarget : Long.compare(sequence, other.sequence);
        }
    }

    private final Time time;
    private final int cores;
    private final int slots;
    private final int queueLimit;
    private final double speed;
    private final double overcommitPenalty;
    private final double overcommitThreshold;
    private final PriorityQueue<Running> running = new PriorityQueue<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private double speedFactor = 1;
    private double attainedWork;
    private long advancedAt;
    private long nextSequence;
    private double completedWork;
    private Time.Timer timer;

    ProcessorSharingServer(
            Time time,
            int cores,
            int slots,
            int queueLimit,
            double speed,
            double overcommitPenalty,
            double overcommitThreshold) {
        this.time = time;
        this.cores = cores;
        this.slots = slots;
        this.queueLimit = queueLimit;
        this.speed = speed;
        this.overcommitPenalty = overcommitPenalty;
        this.overcommitThreshold = overcommitThreshold;
        advancedAt = time.now();
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    /** Work done so far. */
    double completedWork() {
        advance();
        return completedWork;
    }

    /** What it can do at its best, work a microsecond, as it is now. */
    double capacity() {
        return cores * speed * speedFactor;
    }

    /** Takes a job, or turns it away. */
    boolean offer(Job job) {
        if (running.size() < slots) {
            advance();
            start(job);
            scheduleCompletion();
            return true;
        }
        if (waiting.size() >= queueLimit) {
            return false;
        }
        waiting.addLast(job);
        return true;
    }

    /** All its cores run at this share of their speed from now on; 0 stops them. */
    void setSpeedFactor(double share) {
        if (share != speedFactor) {
            advance();
            speedFactor = share;
            scheduleCompletion();
        }
    }

    /** Everything in it is gone. */
    void clear() {
        advance();
        running.clear();
        waiting.clear();
        scheduleCompletion();
    }

    private void start(Job job) {
        double work = job.begin();
        if (work >= 0) {
            running.add(new Running(attainedWork + work, nextSequence++, job));
        }
    }

    private double ratePerJob() {
        int count = running.size();
        if (count == 0) {
            return 0;
        }
        double excess = Math.max(0, (double) count / cores - overcommitThreshold);
        return speed * speedFactor * Math.min(1, (double) cores / count) / (1 + overcommitPenalty * excess);
    }

    private void advance() {
        long now = time.now();
        if (now > advancedAt) {
            double step = ratePerJob() * (now - advancedAt);
            attainedWork += step;
            completedWork += step * running.size();
            advancedAt = now;
        }
    }

    private void scheduleCompletion() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        Running next = running.peek();
        double ratePerJob = ratePerJob();
        if (next != null && ratePerJob > 0) {
            long delayMicros = (long) Math.ceil(Math.max(0, next.targetWork - attainedWork) / ratePerJob);
            timer = time.after(Math.max(1, delayMicros), this::completeDueJobs);
        }
    }

    private void completeDueJobs() {
        timer = null;
        advance();
        ArrayDeque<Job> finished = new ArrayDeque<>();
        while (!running.isEmpty() && running.peek().targetWork <= attainedWork + WORK_TOLERANCE) {
            finished.add(running.poll().job);
        }
        while (running.size() < slots && !waiting.isEmpty()) {
            start(waiting.pollFirst());
        }
        scheduleCompletion();
        finished.forEach(Job::completed);
    }
}
