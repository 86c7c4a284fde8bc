package baymoor.emulator.judge;

import baymoor.emulator.scenario.Scenario.Effect;
import baymoor.emulator.scenario.Scenario.Figures;
import baymoor.emulator.scenario.Scenario.RequestClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    /** What came back to a client. */
    public enum AnswerKind {
        SERVED,
        REFUSED,
        FAILED
    }

    private static final long KEEP_MICROS = 30_000_000;
    private static final int MOST_STEPS = 40;
    private static final double MOST_COLD_SHARE = 0.3;
    private static final double MOST_COLD_EXCESS = 1.25;
    private static final double TOLD_SHARE = 2.0 / 3;
    private static final long LEFT_MICROS = 100_000;
    private static final int LEFT_BY_CHANCE = 2;

    private record Step(long at, String what, String where) {}

    private static final class Attempt {
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

    private static final class RequestRecord {
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
        int[] made = new int[0];
        final List<Attempt> attempts = new ArrayList<>(2);
        final List<Step> steps = new ArrayList<>(8);

        RequestRecord(String id, RequestClass kind, long giveUp) {
            this.id = id;
            this.kind = kind;
            this.giveUp = giveUp;
        }
    }

    private record ListedState(boolean stopped, long at, long since) {}

    private record EndedRequest(long at, RequestRecord request) {}

    private final LongSupplier clock;
    private final long epoch;
    private final Figures figures;
    private final long slack;
    private final Consumer<Broken> broken;
    private final Map<String, RequestRecord> requests = new HashMap<>();
    private final Map<Long, RequestRecord> connections = new HashMap<>();
    private final ArrayDeque<EndedRequest> ended = new ArrayDeque<>();
    private final ArrayDeque<RequestRecord> suspects = new ArrayDeque<>();
    private final Map<Integer, Map<String, ListedState>> listedStates = new HashMap<>();
    private final Map<Integer, Long> stalledUntil = new HashMap<>();
    /** Balancers that have died and not started again. */
    private final Set<Integer> dead = new HashSet<>();

    private int begunForNobody;
    private final CRC32C sums = new CRC32C();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);

    /**
     * @param clock  microseconds of the world's clock; what is reported counts from now on
     * @param slack  how far the driver's word may lag behind what happened; 0 where it sees all at once
     * @param broken hears each break
     */
    public Judge(LongSupplier clock, Figures figures, long slack, Consumer<Broken> broken) {
        this.clock = clock;
        epoch = clock.getAsLong();
        this.figures = figures;
        this.slack = slack;
        this.broken = broken;
    }

    /** How often each rule broke. */
    public Map<Rule, Integer> counts() {
        return new EnumMap<>(counts);
    }

    /** Requests that it still keeps in mind. */
    public int kept() {
        return requests.size();
    }

    private void breaks(Rule rule, RequestRecord request, String what) {
        counts.merge(rule, 1, Integer::sum);
        List<String> last = new ArrayList<>();
        if (request != null) {
            request.steps.forEach(
                    s -> last.add(s.at - epoch + " us  " + s.what + (s.where.isEmpty() ? "" : "  " + s.where)));
        }
        broken.accept(new Broken(rule, clock.getAsLong() - epoch, request == null ? "" : request.id, what, last));
    }

    private void step(RequestRecord request, String what, String where) {
        if (request.steps.size() == MOST_STEPS) {
            request.steps.remove(1);
        }
        request.steps.add(new Step(clock.getAsLong(), what, where));
    }

    private void over(RequestRecord request) {
        if (!request.over) {
            request.over = true;
            ended.add(new EndedRequest(clock.getAsLong(), request));
        }
    }

    /** Forgets what is long over, and looks again at what only time can tell. */
    public void look() {
        long now = clock.getAsLong();
        while (!ended.isEmpty() && now - ended.peek().at > KEEP_MICROS) {
            RequestRecord request = ended.poll().request;
            requests.remove(request.id, request);
            request.attempts.forEach(attempt -> connections.remove(attempt.connection, request));
        }
        while (!suspects.isEmpty()) {
            RequestRecord request = suspects.peek();
            Attempt due = request.attempts.stream()
                    .filter(attempt -> attempt.suspected)
                    .findFirst()
                    .orElse(null);
            if (due != null && now - due.suspectedAt <= slack) {
                return;
            }
            suspects.poll();
            if (due != null) {
                due.suspected = false;
                if (due.out) {
                    breaks(
                            Rule.ONE_RELAY_AT_A_TIME,
                            request,
                            "still out at " + due.host + " " + slack + " us after the next attempt had come");
                }
            }
        }
    }

    // ---- clients

    /** A client has written a request and gives it up at a time. */
    public void asked(String id, RequestClass kind, long giveUpMicros) {
        RequestRecord request = new RequestRecord(id, kind, giveUpMicros);
        step(request, "asked", kind.name());
        requests.put(id, request);
    }

    /** A balancer's process has the request. */
    public void taken(String id, int balancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.over) {
            request.taken = true;
            request.balancer = balancer;
            // Seen: on sockets the kernel takes a request in for a process that was killed 5 ms before.
            request.excused |= dead.contains(balancer);
            step(request, "taken", "by balancer " + balancer);
        }
    }

    /** A whole answer came to the client; {@code value} is what was served. */
    public void answered(String id, AnswerKind kind, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        step(request, "answered", kind.name());
        if (request.over) {
            breaks(Rule.ONE_ANSWER, request, "a second answer");
            return;
        }
        over(request);
        if (kind == AnswerKind.SERVED) {
            int sum = sum(value);
            if (Arrays.stream(request.made).noneMatch(m -> m == sum)) {
                breaks(Rule.TRUE_VALUE, request, "served what no host made for it");
            }
        } else if (kind == AnswerKind.REFUSED
                && request.kind.effect() == Effect.UNSAFE
                && (request.runs > 0 || request.attempts.stream().anyMatch(attempt -> !attempt.notRun))) {
            breaks(Rule.HARMLESS_REFUSAL, request, "an unsafe request that may have run was answered with a back-off");
        }
    }

    /** The connection ended with the request open: {@code byBalancer}, a process that lives, or by what else befell. */
    public void lost(String id, boolean byBalancer) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.over) {
            step(request, "connection ended", byBalancer ? "by the balancer" : "by something else");
            over(request);
            if (byBalancer && request.taken && !request.excused) {
                breaks(Rule.ONE_ANSWER, request, "its connection was closed without an answer");
            }
        }
    }

    /** The client left before its time was up. */
    public void left(String id) {
        RequestRecord request = requests.get(id);
        if (request != null && !request.over) {
            step(request, "the client left", "");
            request.leftAt = clock.getAsLong();
            over(request);
        }
    }

    /** The client's time is up, and the slack that an answer is allowed beyond it, and there is none. */
    public void unanswered(String id) {
        RequestRecord request = requests.get(id);
        if (request == null || request.over) {
            return;
        }
        step(request, "given up", "");
        request.leftAt = clock.getAsLong();
        over(request);
        boolean stalled = stalledUntil.getOrDefault(request.balancer, Long.MIN_VALUE) >= request.giveUp;
        if (request.taken && !request.excused && !stalled) {
            breaks(
                    Rule.IN_TIME,
                    request,
                    "no answer " + (clock.getAsLong() - request.giveUp) + " us after its time was up");
        }
    }

    // ---- balancers

    /** A balancer's process has died, or begins to end: it owes nothing for what it had taken. */
    public void died(int balancer) {
        listedStates.remove(balancer);
        dead.add(balancer);
        for (RequestRecord request : requests.values()) {
            if (!request.over && request.balancer == balancer) {
                request.excused = true;
            }
        }
    }

    /**
     * A balancer's process starts: what its forerunner was told is nothing that it can know. Seen: a router drained and
     * came back before a planned restart, the new process took it from its list as in service, and the old word stood.
     */
    public void started(int balancer) {
        listedStates.remove(balancer);
        dead.remove(balancer);
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
        step(request, "relayed", "to " + host + " by balancer " + balancer + " on connection " + connection);
        boolean late =
                request.leftAt < now - LEFT_MICROS - slack && stalledUntil.getOrDefault(balancer, Long.MIN_VALUE) < now;
        if (late && ++begunForNobody > LEFT_BY_CHANCE) {
            breaks(
                    Rule.LEFT_ALONE,
                    request,
                    "sent to " + host + " " + (now - request.leftAt) + " us after its client had left, case "
                            + begunForNobody);
        }
        for (Attempt attempt : request.attempts) {
            if (attempt.out && slack == 0) {
                breaks(Rule.ONE_RELAY_AT_A_TIME, request, "sent to " + host + " while it is out at " + attempt.host);
            } else if (attempt.out) {
                attempt.suspected = true;
                attempt.suspectedAt = now;
                suspects.add(request);
            }
            // Where the word of a refusal may come late, the truth of what ran has to do.
            if (!attempt.notRun && request.kind.effect() == Effect.UNSAFE && slack == 0) {
                breaks(Rule.UNSAFE_ONCE, request, "sent to " + host + " though it may have run at " + attempt.host);
            }
        }
        if (request.kind.effect() == Effect.KEYED
                && request.firstMayHaveRun >= 0
                && now - request.firstMayHaveRun > request.kind.windowMicros() + slack) {
            breaks(
                    Rule.KEYED_ONCE,
                    request,
                    "sent again " + (now - request.firstMayHaveRun) + " us after an attempt that may have run");
        }
        ListedState listed = listedStates.getOrDefault(balancer, Map.of()).get(host);
        if (listed != null && listed.stopped && now - listed.at > figures.drainGraceMicros() + slack) {
            breaks(
                    Rule.DRAINED,
                    request,
                    "sent to " + host + " " + (now - listed.at) + " us after it was told to stop");
        }
        request.attempts.add(new Attempt(host, connection));
        request.firstMayHaveRun = request.firstMayHaveRun < 0 ? now : request.firstMayHaveRun;
        connections.put(connection, request);
    }

    private int sum(byte[] value) {
        sums.reset();
        sums.update(value);
        return (int) sums.getValue();
    }

    private Attempt onConnection(long connection) {
        RequestRecord request = connections.get(connection);
        if (request == null) {
            return null;
        }
        for (int i = request.attempts.size() - 1; i >= 0; i--) {
            if (request.attempts.get(i).connection == connection) {
                return request.attempts.get(i);
            }
        }
        return null;
    }

    /** Bytes of a host's answer have come to the balancer. */
    public void answerIn(long connection) {
        Attempt attempt = onConnection(connection);
        if (attempt != null && attempt.answered) {
            attempt.out = false;
        }
    }

    /** The connection of an attempt is over at the balancer's side. */
    public void attemptClosed(long connection) {
        Attempt attempt = onConnection(connection);
        if (attempt != null) {
            attempt.out = false;
            connections.remove(connection);
        }
    }

    // ---- hosts

    /** A host has answered an attempt in whole. {@code notRun}: with a miss, or turned away, so that nothing ran. */
    public void hostAnswered(String id, String host, boolean notRun) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        step(request, notRun ? "turned away or missed" : "host answered", "at " + host);
        for (int i = request.attempts.size() - 1; i >= 0; i--) {
            Attempt attempt = request.attempts.get(i);
            if (attempt.host.equals(host) && !attempt.answered) {
                attempt.answered = true;
                attempt.notRun = notRun;
                attempt.out &= slack == 0; // without sight of the balancer's side, an answer that left is one that came
                break;
            }
        }
        if (request.attempts.stream().allMatch(attempt -> attempt.notRun)) {
            request.firstMayHaveRun = -1;
        }
    }

    /** The request has had its effect at a host. */
    public void ran(String id, String host) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        request.runs++;
        request.firstRan = request.runs == 1 ? clock.getAsLong() : request.firstRan;
        step(request, "ran", "at " + host);
        if (request.runs > 1 && request.kind.effect() == Effect.UNSAFE) {
            breaks(Rule.UNSAFE_ONCE, request, "ran " + request.runs + " times");
        } else if (request.runs > 1
                && request.kind.effect() == Effect.KEYED
                && clock.getAsLong() - request.firstRan <= request.kind.windowMicros()) {
            // Later the hosts drop no repeat any more: one that was sent in time, and waited there, is not the
            // balancer's doing.
            breaks(Rule.KEYED_ONCE, request, "had its effect " + request.runs + " times");
        }
    }

    /** A host has made a value or receipt for a request. */
    public void made(String id, byte[] value) {
        RequestRecord request = requests.get(id);
        if (request != null) {
            request.made = Arrays.copyOf(request.made, request.made.length + 1);
            request.made[request.made.length - 1] = sum(value);
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
        Map<String, ListedState> known = listedStates.computeIfAbsent(balancer, b -> new HashMap<>());
        if (!stopped && sinceMicros == 0) {
            known.remove(host); // nothing that a rule turns on
            return;
        }
        ListedState before = known.get(host);
        boolean same = before != null && before.stopped == stopped && before.since == sinceMicros;
        known.put(host, new ListedState(stopped, same ? before.at : clock.getAsLong(), sinceMicros));
    }

    /** Whether a balancer was told of a host's last start. */
    public boolean knowsStart(int balancer, String host, long sinceMicros) {
        ListedState listed = listedStates.getOrDefault(balancer, Map.of()).get(host);
        return listed != null && listed.since == sinceMicros;
    }

    /** A cold router fell over; {@code fromTold}: share of the work of those who knew of its start. */
    public void tipped(String host, double fromTold) {
        if (fromTold >= TOLD_SHARE) {
            breaks(
                    Rule.COLD_ROUTER,
                    null,
                    String.format(
                            java.util.Locale.ROOT,
                            "%s fell over, %.0f%% of its work from balancers that knew of its start",
                            host,
                            fromTold * 100));
        }
    }

    /**
     * The origin stopped under its load. {@code coldShare}: of it that missed at cold routers; {@code excess}: that
     * over what is due to them when their weights are cut by the stated warm-up.
     */
    public void originFell(double coldShare, double excess) {
        if (coldShare > MOST_COLD_SHARE && excess > MOST_COLD_EXCESS) {
            breaks(
                    Rule.ORIGIN_SPARED,
                    null,
                    String.format(
                            java.util.Locale.ROOT,
                            "the origin stopped, %.0f%% of its load misses at cold routers, %.1f times what was due to them",
                            coldShare * 100,
                            excess));
        }
    }

    /** The balancer's own code found something wrong. */
    public void invariant(String who, String what) {
        breaks(Rule.INVARIANT, null, who + ": " + what);
    }
}
