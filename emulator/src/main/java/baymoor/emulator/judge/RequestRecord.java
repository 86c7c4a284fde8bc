package baymoor.emulator.judge;

import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** Tracks one request for the judge: its attempts, its outcome and its most recent steps. Not thread-safe. */
final class RequestRecord {

    private static final int MAX_STEPS = 40;

    final String id;
    final RequestClass requestClass;
    final long deadlineMicros;
    int balancer = -1;
    boolean accepted;
    boolean ended;
    boolean exempt;
    int executions;
    long firstExecutedAt;
    long firstPossibleExecutionAt = -1;
    long clientLeftAt = Long.MAX_VALUE;
    /** Checksums of the values and receipts that hosts produced for this request. */
    final List<Integer> validChecksums = new ArrayList<>(1);

    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Step> steps = new ArrayList<>(8);

    /** State of one attempt at a host. */
    static final class Attempt {
        final String host;
        final long connection;
        boolean outstanding = true;
        boolean answered;
        boolean notExecuted;
        boolean overlapSuspected;
        long overlapSuspectedAt;

        Attempt(String host, long connection) {
            this.host = host;
            this.connection = connection;
        }
    }

    private record Step(long at, String what, String where) {}

    RequestRecord(String id, RequestClass requestClass, long deadlineMicros) {
        this.id = id;
        this.requestClass = requestClass;
        this.deadlineMicros = deadlineMicros;
    }

    /** Records a step; when the record is full, the oldest step after the first is dropped. */
    void step(long at, String what, String where) {
        if (steps.size() == MAX_STEPS) {
            steps.remove(1);
        }
        steps.add(new Step(at, what, where));
    }

    /** Returns the recorded steps, one line each, with times relative to {@code epoch}. */
    List<String> formatSteps(long epoch) {
        return steps.stream()
                .map(step -> step.at - epoch + " us  " + step.what + (step.where.isEmpty() ? "" : "  " + step.where))
                .toList();
    }

    /** Returns the last attempt on a connection, or null if there is none. */
    Attempt lastAttemptOnConnection(long connection) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            if (attempts.get(i).connection == connection) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** Returns the first attempt suspected of overlapping a later one, or null if there is none. */
    Attempt firstSuspectedOverlap() {
        return attempts.stream()
                .filter(attempt -> attempt.overlapSuspected)
                .findFirst()
                .orElse(null);
    }

    /** Returns whether the request has executed or may have. */
    boolean mayHaveExecuted() {
        return executions > 0 || attempts.stream().anyMatch(attempt -> !attempt.notExecuted);
    }

    /**
     * Records a host's answer to the last unanswered attempt there.
     *
     * @param notExecuted      whether the answer was a miss or a refusal, so that nothing was executed
     * @param balancerObserved whether the balancer's side is observed as well; if not, an answer counts as received once
     *                         the host has sent it
     */
    void hostAnswered(String host, boolean notExecuted, boolean balancerObserved) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            Attempt attempt = attempts.get(i);
            if (attempt.host.equals(host) && !attempt.answered) {
                attempt.answered = true;
                attempt.notExecuted = notExecuted;
                attempt.outstanding &= balancerObserved;
                break;
            }
        }
        if (attempts.stream().allMatch(attempt -> attempt.notExecuted)) {
            firstPossibleExecutionAt = -1;
        }
    }
}
