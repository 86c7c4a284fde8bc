package baymoor.emulator.judge;

import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** What the judge knows of one request: its attempts, what came of it, and its last steps for a report. */
final class RequestRecord {

    private static final int MOST_STEPS = 40;

    final String id;
    final RequestClass kind;
    final long giveUp;
    int balancer = -1;
    boolean taken;
    boolean over;
    boolean excused;
    int runs;
    long firstRan;
    long firstMayHaveRun = -1;
    long leftAt = Long.MAX_VALUE;
    /** Checksums of the values and receipts that hosts made for it. */
    final List<Integer> made = new ArrayList<>(1);

    final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Step> steps = new ArrayList<>(8);

    /** One attempt at a host, as the judge sees it. */
    static final class Attempt {
        final String host;
        final long connection;
        boolean out = true;
        boolean answered;
        boolean notRun;
        boolean suspected;
        long suspectedAt;

        Attempt(String host, long connection) {
            this.host = host;
            this.connection = connection;
        }
    }

    private record Step(long at, String what, String where) {}

    RequestRecord(String id, RequestClass kind, long giveUp) {
        this.id = id;
        this.kind = kind;
        this.giveUp = giveUp;
    }

    /** Notes a step; past a bound the oldest but the first is dropped. */
    void step(long at, String what, String where) {
        if (steps.size() == MOST_STEPS) {
            steps.remove(1);
        }
        steps.add(new Step(at, what, where));
    }

    /** The steps noted, a line each, with times since {@code epoch}. */
    List<String> stepLines(long epoch) {
        return steps.stream()
                .map(s -> s.at - epoch + " us  " + s.what + (s.where.isEmpty() ? "" : "  " + s.where))
                .toList();
    }

    /** The last attempt on a connection, or null. */
    Attempt onConnection(long connection) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            if (attempts.get(i).connection == connection) {
                return attempts.get(i);
            }
        }
        return null;
    }

    /** The first attempt that seems to have been out together with another one, or null. */
    Attempt suspected() {
        return attempts.stream()
                .filter(attempt -> attempt.suspected)
                .findFirst()
                .orElse(null);
    }

    /** Whether it has run, or may have. */
    boolean mayHaveRun() {
        return runs > 0 || attempts.stream().anyMatch(attempt -> !attempt.notRun);
    }

    /**
     * A host has answered its last open attempt there.
     *
     * @param notRun     with a miss or a refusal, so that nothing ran
     * @param watchedAll whether the balancer's side is seen too; without that, an answer that left counts as one that came
     */
    void hostAnswered(String host, boolean notRun, boolean watchedAll) {
        for (int i = attempts.size() - 1; i >= 0; i--) {
            Attempt attempt = attempts.get(i);
            if (attempt.host.equals(host) && !attempt.answered) {
                attempt.answered = true;
                attempt.notRun = notRun;
                attempt.out &= watchedAll;
                break;
            }
        }
        if (attempts.stream().allMatch(attempt -> attempt.notRun)) {
            firstMayHaveRun = -1;
        }
    }
}
