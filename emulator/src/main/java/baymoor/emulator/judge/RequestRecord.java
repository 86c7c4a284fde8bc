package baymoor.emulator.judge;

import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** What the judge knows of one request: its attempts, what came of it, and its last steps for a report. */
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
    /** Checksums of the values and receipts that hosts made for it. */
    final List<Integer> validChecksums = new ArrayList<>(1);

    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Step> steps = new ArrayList<>(8);

    /** One attempt at a host, as the judge sees it. */
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

    /** Notes a step; past a bound the oldest but the first is dropped. */
    void step(long at, String what, String where) {
        if (steps.size() == MAX_STEPS) {
            steps.remove(1);
        }
        steps.add(new Step(at, what, where));
    }

    /** The steps noted, a line each, with times since {@code epoch}. */
    List<String> formatSteps(long epoch) {
        return steps.stream()
                .map(step -> step.at - epoch + " us  " + step.what + (step.where.isEmpty() ? "" : "  " + step.where))
                .toList();
    }

    /** The last attempt on a connection, or null. */
    Attempt lastAttemptOnConnection(long connection) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            if (attempts.get(i).connection == connection) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** The first attempt that seems to have been out together with another one, or null. */
    Attempt firstSuspectedOverlap() {
        return attempts.stream()
                .filter(attempt -> attempt.overlapSuspected)
                .findFirst()
                .orElse(null);
    }

    /** Whether it has run, or may have. */
    boolean mayHaveExecuted() {
        return executions > 0 || attempts.stream().anyMatch(attempt -> !attempt.notExecuted);
    }

    /**
     * A host has answered its last open attempt there.
     *
     * @param notExecuted     with a miss or a refusal, so that nothing ran
     * @param balancerObserved whether the balancer's side is seen too; without that, an answer that left counts as one that came
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
