package baymoor.emulator.judge;

import baymoor.emulator.judge.RequestRecord.Attempt;
import baymoor.emulator.scenario.Scenario.Effect;
import baymoor.emulator.scenario.Scenario.Figures;
import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.zip.CRC32C;

/**
 * Checks a run against the {@link Rule rules}. The driver reports events of clients, hosts, discovery and, where visible,
 * of the balancers' own connections in the order in which they happen, and calls {@link #look} periodically. A state
 * machine without I/O, not thread-safe. Ended requests are kept for 30 s, so memory is bounded by recent traffic.
 */
public final class Judge {

    private static final long RETENTION_MICROS = 30_000_000;
    private static final double MAX_COLD_SHARE = 0.3;
    private static final double MAX_COLD_EXCESS = 1.25;
    private static final double MIN_INFORMED_SHARE = 2.0 / 3;
    private static final long CLIENT_LEFT_GRACE_MICROS = 100_000;
    private static final int TOLERATED_LATE_ATTEMPTS = 2;

    private record EndedRequest(long endedAt, RequestRecord request) {}

    private final LongSupplier clock;
    private final long epoch;
    private final Figures figures;
    private final long slackMicros;
    private final Consumer<Broken> violationListener;
    private final Map<String, RequestRecord> requests = new HashMap<>();
    private final Map<Long, RequestRecord> connections = new HashMap<>();
    private final ArrayDeque<EndedRequest> endedRequests = new ArrayDeque<>();
    private final ArrayDeque<RequestRecord> possibleOverlaps = new ArrayDeque<>();
    private final ListedStates listedStates = new ListedStates();
    private final Map<Integer, Long> stalledUntil = new HashMap<>();
    /** Balancers that have died and have not been restarted. */
    private final Set<Integer> deadBalancers = new HashSet<>();

    private int lateAttempts;
    private final CRC32C checksum = new CRC32C();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * @param clock             microseconds of the run's clock; reported times are relative to its value now
     * @param slackMicros       how far reports may lag behind the events; 0 if the driver observes them immediately
     * @param violationListener receives each violation
     */
    public Judge(LongSupplier clock, Figures figures, long slackMicros, Consumer<Broken> violationListener) {
        this.clock = clock;
        epoch = clock.getAsLong();
        this.figures = figures;
        this.slackMicros = slackMicros;
        this.violationListener = violationListener;
    }

    /** Returns the number of violations by rule; rules without a violation are absent. */
    public Map<Rule, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** Returns the number of requests that are still tracked. */
    public int kept() {
        return requests.size();
    }

    private void reportViolation(Rule rule, RequestRecord request, String what) {
        counts.merge(rule, 1, Integer::sum);
        List<String> last = request == null ? List.of() : request.formatSteps(epoch);
        violationListener.accept(
                new Broken(rule, clock.getAsLong() - epoch, request == null ? "" : request.id, what, last));
    }

    private void recordStep(RequestRecord request, String what, String where) {
        request.step(clock.getAsLong(), what, where);
    }

    private void markEnded(RequestRecord request) {
        if (!request.ended) {
            request.ended = true;
            endedRequests.add(new EndedRequest(clock.getAsLong(), request));
        }
    }

    /** Drops requests past their retention and decides the suspected overlaps whose slack has elapsed. */
    public void look() {
        long now = clock.getAsLong();
        while (!endedRequests.isEmpty() && now - endedRequests.peek().endedAt > RETENTION_MICROS) {
            RequestRecord request = endedRequests.poll().request;
            requests.remove(request.id, request);
            request.attempts.forEach(attempt -> connections.remove(attempt.connection, request));
        }
        while (!possibleOverlaps.isEmpty()) {
            RequestRecord request = possibleOverlaps.peek();
            Attempt overlap = request.firstSuspectedOverlap();
            if (overlap != null && now - overlap.overlapSuspectedAt <= slackMicros) {
                return;
            }
            possibleOverlaps.poll();
            if (overlap != null) {
                overlap.overlapSuspected = false;
                if (overlap.outstanding) {
                    reportViolation(
                            Rule.ONE_RELAY_AT_A_TIME,
                            request,
                            "still outstanding at " + overlap.host + " " + slackMicros + " us after the next attempt");
                }
            }
        }
    }

    // ---- clients

    /** Records that a client has sent a request, which it abandons at {@code deadlineMicros}. */
    public void asked(String id, RequestClass requestClass, long deadlineMicros) {
        RequestRecord request = new RequestRecord(id, requestClass, deadlineMicros);
        recordStep(request, "asked", requestClass.name());
        requests.put(id, request);
    }

    /** Records that a balancer's process has received the request. */
    public void taken(String id, int balancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            request.accepted = true;
            request.balancer = balancer;
            // The kernel may still accept bytes on behalf of a process that has just been killed.
            request.exempt |= deadBalancers.contains(balancer);
            recordStep(request, "taken", "by balancer " + balancer);
        }
    }

    /** Records that the client has received a complete answer; {@code value} is read only if it was served. */
    public void answered(String id, AnswerKind kind, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        recordStep(request, "answered", kind.name());
        if (request.ended) {
            reportViolation(Rule.ONE_ANSWER, request, "received a second answer");
            return;
        }
        markEnded(request);
        if (kind == AnswerKind.SERVED) {
            if (!request.validChecksums.contains(checksumOf(value))) {
                reportViolation(Rule.TRUE_VALUE, request, "served a value that no host produced for this request");
            }
        } else if (kind == AnswerKind.REFUSED
                && request.requestClass.effect() == Effect.UNSAFE
                && request.mayHaveExecuted()) {
            reportViolation(Rule.HARMLESS_REFUSAL, request, "an unsafe request that may have executed was refused");
        }
    }

    /** Records that a connection ended before an answer; {@code byBalancer}: closed by a running balancer. */
    public void lost(String id, boolean byBalancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            recordStep(request, "connection ended", byBalancer ? "by the balancer" : "by another cause");
            markEnded(request);
            if (byBalancer && request.accepted && !request.exempt) {
                reportViolation(Rule.ONE_ANSWER, request, "connection closed without an answer");
            }
        }
    }

    /** Records that the client left before its deadline. */
    public void left(String id) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            recordStep(request, "the client left", "");
            request.clientLeftAt = clock.getAsLong();
            markEnded(request);
        }
    }

    /** Records that no answer came by the client's deadline plus the allowed slack. */
    public void unanswered(String id) {
        RequestRecord request = requests.get(id);
        if (request == null || request.ended) {
            return;
        }
        recordStep(request, "abandoned by the client", "");
        request.clientLeftAt = clock.getAsLong();
        markEnded(request);
        boolean stalled = stalledUntil.getOrDefault(request.balancer, Long.MIN_VALUE) >= request.deadlineMicros;
        if (request.accepted && !request.exempt && !stalled) {
            reportViolation(
                    Rule.IN_TIME,
                    request,
                    "no answer " + (clock.getAsLong() - request.deadlineMicros) + " us after the deadline");
        }
    }

    // ---- balancers

    /** Records that a balancer's process has died or begins to stop: it owes no answer to the requests it holds. */
    public void died(int balancer) {
        listedStates.forget(balancer);
        deadBalancers.add(balancer);
        for (RequestRecord request : requests.values()) {
            if (!request.ended && request.balancer == balancer) {
                request.exempt = true;
            }
        }
    }

    /** Records that a balancer's process starts. It knows none of the host states reported to the previous process. */
    public void started(int balancer) {
        listedStates.forget(balancer);
        deadBalancers.remove(balancer);
    }

    /** Records that a balancer's process is suspended until {@code untilMicros}. */
    public void stalled(int balancer, long untilMicros) {
        stalledUntil.merge(balancer, untilMicros + figures.answerSlackMicros(), Math::max);
    }

    /** Records that a balancer has sent an attempt on a connection. */
    public void attemptSent(String id, int balancer, String host, long connection) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        long now = clock.getAsLong();
        recordStep(request, "relayed", "to " + host + " by balancer " + balancer + " on connection " + connection);
        boolean late = request.clientLeftAt < now - CLIENT_LEFT_GRACE_MICROS - slackMicros
                && stalledUntil.getOrDefault(balancer, Long.MIN_VALUE) < now;
        if (late && ++lateAttempts > TOLERATED_LATE_ATTEMPTS) {
            reportViolation(
                    Rule.LEFT_ALONE,
                    request,
                    "sent to " + host + " " + (now - request.clientLeftAt)
                            + " us after its client had left, occurrence " + lateAttempts);
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.outstanding && slackMicros == 0) {
                reportViolation(
                        Rule.ONE_RELAY_AT_A_TIME, request, "sent to " + host + " while active at " + attempt.host);
            } else if (attempt.outstanding) {
                attempt.overlapSuspected = true;
                attempt.overlapSuspectedAt = now;
                possibleOverlaps.add(request);
            }
            // With delayed reports a refusal may arrive late; ran() then checks the actual executions.
            if (!attempt.notExecuted && request.requestClass.effect() == Effect.UNSAFE && slackMicros == 0) {
                reportViolation(
                        Rule.UNSAFE_ONCE, request, "sent to " + host + " but may have executed at " + attempt.host);
            }
        }
        if (request.requestClass.effect() == Effect.KEYED
                && request.firstPossibleExecutionAt >= 0
                && now - request.firstPossibleExecutionAt > request.requestClass.windowMicros() + slackMicros) {
            reportViolation(
                    Rule.KEYED_ONCE,
                    request,
                    "sent again " + (now - request.firstPossibleExecutionAt) + " us after it may have executed");
        }
        OptionalLong stoppedAt = listedStates.stoppedAt(balancer, host);
        if (stoppedAt.isPresent() && now - stoppedAt.getAsLong() > figures.drainGraceMicros() + slackMicros) {
            reportViolation(
                    Rule.DRAINED,
                    request,
                    "sent to " + host + " " + (now - stoppedAt.getAsLong()) + " us after it was reported stopped");
        }
        request.attempts.add(new Attempt(host, connection));
        request.firstPossibleExecutionAt =
                request.firstPossibleExecutionAt < 0 ? now : request.firstPossibleExecutionAt;
        connections.put(connection, request);
    }

    private int checksumOf(byte[] value) {
        checksum.reset();
        checksum.update(value);
        return (int) checksum.getValue();
    }

    private Attempt attemptOnConnection(long connection) {
        return connections.containsKey(connection)
                ? connections.get(connection).lastAttemptOnConnection(connection)
                : null;
    }

    /** Records that bytes of a host's answer have arrived at the balancer. */
    public void answerIn(long connection) {
        Attempt attempt = attemptOnConnection(connection);
        if (attempt != null && attempt.answered) {
            attempt.outstanding = false;
        }
    }

    /** Records that an attempt's connection has closed on the balancer's side. */
    public void attemptClosed(long connection) {
        Attempt attempt = attemptOnConnection(connection);
        if (attempt != null) {
            attempt.outstanding = false;
            connections.remove(connection);
        }
    }

    // ---- hosts

    /** Records a host's complete answer; {@code notExecuted}: a miss or a refusal, so that nothing was executed. */
    public void hostAnswered(String id, String host, boolean notExecuted) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        recordStep(request, notExecuted ? "host refused or missed" : "host answered", "at " + host);
        request.hostAnswered(host, notExecuted, slackMicros == 0);
    }

    /** Records that a host has executed the request. */
    public void ran(String id, String host) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        request.executions++;
        request.firstExecutedAt = request.executions == 1 ? clock.getAsLong() : request.firstExecutedAt;
        recordStep(request, "ran", "at " + host);
        if (request.executions > 1 && request.requestClass.effect() == Effect.UNSAFE) {
            reportViolation(Rule.UNSAFE_ONCE, request, "executed " + request.executions + " times");
        } else if (request.executions > 1
                && request.requestClass.effect() == Effect.KEYED
                && clock.getAsLong() - request.firstExecutedAt <= request.requestClass.windowMicros()) {
            // Beyond the window hosts no longer drop repeats, so one that waited there may execute again.
            reportViolation(Rule.KEYED_ONCE, request, "took effect " + request.executions + " times");
        }
    }

    /** Records that a host has produced a value or receipt for a request. */
    public void made(String id, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request != null) {
            request.validChecksums.add(checksumOf(value));
        }
    }

    // ---- discovery

    /** Records a reported host state: {@code stopped} if draining or gone; {@code sinceMicros}: last start, 0 if old. */
    public void told(int balancer, String host, boolean stopped, long sinceMicros) {
        listedStates.update(balancer, host, stopped, sinceMicros, clock.getAsLong());
    }

    /** Returns whether discovery has reported a host's last start to a balancer. */
    public boolean knowsStart(int balancer, String host, long sinceMicros) {
        return listedStates.knowsStart(balancer, host, sinceMicros);
    }

    /** Records that a cold router was overloaded; {@code informedShare}: work from balancers that knew of its start. */
    public void tipped(String host, double informedShare) {
        if (informedShare >= MIN_INFORMED_SHARE) {
            reportViolation(
                    Rule.COLD_ROUTER,
                    null,
                    String.format(
                            Locale.ROOT,
                            "%s was overloaded, %.0f%% of its work from balancers that knew of its start",
                            host,
                            informedShare * 100));
        }
    }

    /** Records an origin overload: {@code coldShare} of its load, {@code excess} times the expected, were cold misses. */
    public void originFell(double coldShare, double excess) {
        if (coldShare > MAX_COLD_SHARE && excess > MAX_COLD_EXCESS) {
            reportViolation(
                    Rule.ORIGIN_SPARED,
                    null,
                    String.format(
                            Locale.ROOT,
                            "the origin was overloaded, %.0f%% of its load from misses at cold routers, %.1f times their expected load",
                            coldShare * 100,
                            excess));
        }
    }

    /** Records a failed internal check of a balancer, or a failure of its process. */
    public void invariant(String component, String what) {
        reportViolation(Rule.INVARIANT, null, component + ": " + what);
    }
}
