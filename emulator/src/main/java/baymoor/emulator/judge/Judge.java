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
 * Hears the truth of a world, from clients, hosts and discovery and, where the driver sees them, from the balancers'
 * own connections, and says which rule broke. It is a state machine without I/O: the driver tells it what happened in
 * the order in which it happened, and calls {@link #look} now and then. It keeps each request for as long as something
 * may still come of it, so its memory goes with the traffic of half a minute and not with the length of a run.
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
    /** Balancers that have died and not started again. */
    private final Set<Integer> deadBalancers = new HashSet<>();

    private int lateAttempts;
    private final CRC32C checksum = new CRC32C();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * @param clock  microseconds of the world's clock; what is reported counts from now on
     * @param slackMicros  how far the driver's word may lag behind what happened; 0 where it sees all at once
     * @param violationListener hears each break
     */
    public Judge(LongSupplier clock, Figures figures, long slackMicros, Consumer<Broken> violationListener) {
        this.clock = clock;
        epoch = clock.getAsLong();
        this.figures = figures;
        this.slackMicros = slackMicros;
        this.violationListener = violationListener;
    }

    /** How often each rule broke. */
    public Map<Rule, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** Requests that it still keeps in mind. */
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

    /** Forgets what is long over, and looks again at what only time can tell. */
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
                            "still out at " + overlap.host + " " + slackMicros + " us after the next attempt had come");
                }
            }
        }
    }

    // ---- clients

    /** A client has written a request and gives it up at a time. */
    public void asked(String id, RequestClass requestClass, long deadlineMicros) {
        RequestRecord request = new RequestRecord(id, requestClass, deadlineMicros);
        recordStep(request, "asked", requestClass.name());
        requests.put(id, request);
    }

    /** A balancer's process has the request. */
    public void taken(String id, int balancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            request.accepted = true;
            request.balancer = balancer;
            // Seen: on sockets the kernel takes a request in for a process that was killed 5 ms before.
            request.exempt |= deadBalancers.contains(balancer);
            recordStep(request, "taken", "by balancer " + balancer);
        }
    }

    /** A whole answer came to the client; {@code value} is what was served. */
    public void answered(String id, AnswerKind kind, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        recordStep(request, "answered", kind.name());
        if (request.ended) {
            reportViolation(Rule.ONE_ANSWER, request, "a second answer");
            return;
        }
        markEnded(request);
        if (kind == AnswerKind.SERVED) {
            if (!request.validChecksums.contains(checksumOf(value))) {
                reportViolation(Rule.TRUE_VALUE, request, "served what no host made for it");
            }
        } else if (kind == AnswerKind.REFUSED
                && request.requestClass.effect() == Effect.UNSAFE
                && request.mayHaveExecuted()) {
            reportViolation(
                    Rule.HARMLESS_REFUSAL, request, "an unsafe request that may have run was answered with a back-off");
        }
    }

    /** The connection ended with the request open: {@code byBalancer}, a process that lives, or by what else befell. */
    public void lost(String id, boolean byBalancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            recordStep(request, "connection ended", byBalancer ? "by the balancer" : "by something else");
            markEnded(request);
            if (byBalancer && request.accepted && !request.exempt) {
                reportViolation(Rule.ONE_ANSWER, request, "its connection was closed without an answer");
            }
        }
    }

    /** The client left before its time was up. */
    public void left(String id) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.ended) {
            recordStep(request, "the client left", "");
            request.clientLeftAt = clock.getAsLong();
            markEnded(request);
        }
    }

    /** The client's time is up, and the slack that an answer is allowed beyond it, and there is none. */
    public void unanswered(String id) {
        RequestRecord request = requests.get(id);
        if (request == null || request.ended) {
            return;
        }
        recordStep(request, "given up", "");
        request.clientLeftAt = clock.getAsLong();
        markEnded(request);
        boolean stalled = stalledUntil.getOrDefault(request.balancer, Long.MIN_VALUE) >= request.deadlineMicros;
        if (request.accepted && !request.exempt && !stalled) {
            reportViolation(
                    Rule.IN_TIME,
                    request,
                    "no answer " + (clock.getAsLong() - request.deadlineMicros) + " us after its time was up");
        }
    }

    // ---- balancers

    /** A balancer's process has died, or begins to end: it owes nothing for what it had taken. */
    public void died(int balancer) {
        listedStates.forget(balancer);
        deadBalancers.add(balancer);
        for (RequestRecord request : requests.values()) {
            if (!request.ended && request.balancer == balancer) {
                request.exempt = true;
            }
        }
    }

    /**
     * A balancer's process starts: what its forerunner was told is nothing that it can know. Seen: a router drained and
     * came back before a planned restart, the new process took it from its list as in service, and the old word stood.
     */
    public void started(int balancer) {
        listedStates.forget(balancer);
        deadBalancers.remove(balancer);
    }

    /** A balancer's process is held up from outside until a time. */
    public void stalled(int balancer, long untilMicros) {
        stalledUntil.merge(balancer, untilMicros + figures.answerSlackMicros(), Math::max);
    }

    /** An attempt has left on a connection. */
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
                    "sent to " + host + " " + (now - request.clientLeftAt) + " us after its client had left, case "
                            + lateAttempts);
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.outstanding && slackMicros == 0) {
                reportViolation(
                        Rule.ONE_RELAY_AT_A_TIME, request, "sent to " + host + " while it is out at " + attempt.host);
            } else if (attempt.outstanding) {
                attempt.overlapSuspected = true;
                attempt.overlapSuspectedAt = now;
                possibleOverlaps.add(request);
            }
            // Where the word of a refusal may come late, the truth of what ran has to do.
            if (!attempt.notExecuted && request.requestClass.effect() == Effect.UNSAFE && slackMicros == 0) {
                reportViolation(
                        Rule.UNSAFE_ONCE, request, "sent to " + host + " though it may have run at " + attempt.host);
            }
        }
        if (request.requestClass.effect() == Effect.KEYED
                && request.firstPossibleExecutionAt >= 0
                && now - request.firstPossibleExecutionAt > request.requestClass.windowMicros() + slackMicros) {
            reportViolation(
                    Rule.KEYED_ONCE,
                    request,
                    "sent again " + (now - request.firstPossibleExecutionAt)
                            + " us after an attempt that may have run");
        }
        OptionalLong stoppedAt = listedStates.stoppedAt(balancer, host);
        if (stoppedAt.isPresent() && now - stoppedAt.getAsLong() > figures.drainGraceMicros() + slackMicros) {
            reportViolation(
                    Rule.DRAINED,
                    request,
                    "sent to " + host + " " + (now - stoppedAt.getAsLong()) + " us after it was told to stop");
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

    /** Bytes of a host's answer have come to the balancer. */
    public void answerIn(long connection) {
        Attempt attempt = attemptOnConnection(connection);
        if (attempt != null && attempt.answered) {
            attempt.outstanding = false;
        }
    }

    /** The connection of an attempt is over at the balancer's side. */
    public void attemptClosed(long connection) {
        Attempt attempt = attemptOnConnection(connection);
        if (attempt != null) {
            attempt.outstanding = false;
            connections.remove(connection);
        }
    }

    // ---- hosts

    /** A host has answered an attempt in whole. {@code notExecuted}: with a miss, or turned away, so that nothing ran. */
    public void hostAnswered(String id, String host, boolean notExecuted) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        recordStep(request, notExecuted ? "turned away or missed" : "host answered", "at " + host);
        request.hostAnswered(host, notExecuted, slackMicros == 0);
    }

    /** The request has had its effect at a host. */
    public void ran(String id, String host) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        request.executions++;
        request.firstExecutedAt = request.executions == 1 ? clock.getAsLong() : request.firstExecutedAt;
        recordStep(request, "ran", "at " + host);
        if (request.executions > 1 && request.requestClass.effect() == Effect.UNSAFE) {
            reportViolation(Rule.UNSAFE_ONCE, request, "ran " + request.executions + " times");
        } else if (request.executions > 1
                && request.requestClass.effect() == Effect.KEYED
                && clock.getAsLong() - request.firstExecutedAt <= request.requestClass.windowMicros()) {
            // Later the hosts drop no repeat any more: one that was sent in time, and waited there, is not the
            // balancer's doing.
            reportViolation(Rule.KEYED_ONCE, request, "had its effect " + request.executions + " times");
        }
    }

    /** A host has made a value or receipt for a request. */
    public void made(String id, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request != null) {
            request.validChecksums.add(checksumOf(value));
        }
    }

    // ---- discovery

    /**
     * Discovery has written to a balancer how a host is.
     *
     * @param stopped     it drains or is gone
     * @param sinceMicros when it last started, 0 for long ago
     */
    public void told(int balancer, String host, boolean stopped, long sinceMicros) {
        listedStates.update(balancer, host, stopped, sinceMicros, clock.getAsLong());
    }

    /** Whether a balancer was told of a host's last start. */
    public boolean knowsStart(int balancer, String host, long sinceMicros) {
        return listedStates.knowsStart(balancer, host, sinceMicros);
    }

    /** A cold router fell over; {@code informedShare}: share of the work of those who knew of its start. */
    public void tipped(String host, double informedShare) {
        if (informedShare >= MIN_INFORMED_SHARE) {
            reportViolation(
                    Rule.COLD_ROUTER,
                    null,
                    String.format(
                            Locale.ROOT,
                            "%s fell over, %.0f%% of its work from balancers that knew of its start",
                            host,
                            informedShare * 100));
        }
    }

    /**
     * The origin stopped under its load. {@code coldShare}: of it that missed at cold routers; {@code excess}: that
     * over what is due to them when their weights are cut by the stated warm-up.
     */
    public void originFell(double coldShare, double excess) {
        if (coldShare > MAX_COLD_SHARE && excess > MAX_COLD_EXCESS) {
            reportViolation(
                    Rule.ORIGIN_SPARED,
                    null,
                    String.format(
                            Locale.ROOT,
                            "the origin stopped, %.0f%% of its load misses at cold routers, %.1f times what was due to them",
                            coldShare * 100,
                            excess));
        }
    }

    /** The balancer's own code found something wrong. */
    public void invariant(String component, String what) {
        reportViolation(Rule.INVARIANT, null, component + ": " + what);
    }
}
