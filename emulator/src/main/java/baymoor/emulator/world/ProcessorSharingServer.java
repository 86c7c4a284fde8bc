package baymoor.emulator.world;

import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.PriorityQueue;

/**
 * Simulates a processor-sharing server: running jobs share the cores evenly, with at most one core per job. A limited
 * number of slots bounds the running jobs and a bounded FIFO queue holds further ones; beyond that, jobs are rejected.
 * Too many running jobs per core reduce efficiency. Work is in microseconds of a core of speed 1.
 *
 * <p>All running jobs progress at the same rate, so a single attained-work total serves them all: a job completes when
 * the total has grown by its work. Each arrival or completion is logarithmic in the number of running jobs.
 *
 * <p>Not thread-safe: all calls come from the thread of its {@link Time}.
 */
final class ProcessorSharingServer {

    /** A unit of work, called back when it starts and when it completes. */
    interface Job {
        /** Takes a slot; returns the amount of work, or a negative number to drop the job. */
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

    /** Returns the total work done so far, including that of unfinished jobs. */
    double completedWork() {
        advance();
        return completedWork;
    }

    /** Returns the maximum work per microsecond at the current speed factor. */
    double capacity() {
        return cores * speed * speedFactor;
    }

    /** Starts or queues a job; returns false if the queue is full. */
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

    /** Runs all cores at this share of their speed from now on; 0 suspends them. */
    void setSpeedFactor(double share) {
        if (share != speedFactor) {
            advance();
            speedFactor = share;
            scheduleCompletion();
        }
    }

    /** Discards all running and queued jobs without completing them. */
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

    /** Returns the work per microsecond that each running job gets. */
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
            timer = time.schedule(Math.max(1, delayMicros), this::completeDueJobs);
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
