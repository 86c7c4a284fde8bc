package merlinstep;

import java.util.List;

/**
 * The whole interface of the decision module: what it is told at start ({@link Settings}), what it hears
 * ({@link Event}), what it may order ({@link Action}) and the one entry point, {@link #decide}.
 *
 * <p>An embedder creates one {@code Decisions} for each balancer, hands it every event with the clock time at which
 * it happened, and carries out what comes to the sink, in order. Times are microseconds of one monotonic clock of
 * any origin. An instance keeps no threads and reads neither clock nor files; it is not safe for concurrent use.
 */
public interface Decisions {

    /** Takes one event in and gives the actions that follow from it, in order, to {@code sink}. */
    void decide(long nowMicros, Event event, Sink sink);

    /** Starts an instance that knows nothing but {@code settings}. */
    static Decisions start(Settings settings) {
        return new Rules(settings);
    }

    /** Takes the actions of an instance, in the order in which they shall be carried out. */
    @FunctionalInterface
    interface Sink {
        void accept(Action action);
    }

    /** How an attempt ended; {@link #provesNothingRan} is what the effect rules need of it. */
    enum Outcome {
        SERVED(false),
        ERROR(false),
        FULL(true),
        TIMED_OUT(false),
        NOT_CONNECTED(true),
        RESET(false),
        CANCELLED(false),
        NOT_SENT(true),
        MISS(true);

        private final boolean unrun;

        Outcome(boolean unrun) {
            this.unrun = unrun;
        }

        public boolean provesNothingRan() {
            return unrun;
        }
    }

    /** Whether a request of a class may run more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which servers drop the repeat of a keyed request. */
    enum Group {
        ALL,
        ZONE,
        CELL
    }

    /** Whether the server list arrives by itself or has to be asked for. */
    enum Membership {
        PUSH,
        ASK
    }

    /** How load reports arrive. */
    enum Reports {
        WITH_ANSWERS,
        WITH_PROBES,
        NONE
    }

    /** What the size of a listed server means. */
    enum Weights {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** What a server does with a request whose key it lacks: fetch it itself, or answer with a miss. */
    enum Mode {
        THROUGH,
        ASIDE
    }

    /** State of a listed server. */
    enum State {
        RUNNING,
        DRAINING,
        GONE
    }

    /** How a server list event relates to what is known. */
    enum ListKind {
        CHANGES,
        WHOLE,
        LAST_KNOWN,
        FAILED
    }

    /** A class of requests. {@code aimPerWork} stretches the aim by a multiple of the request's own work. */
    record RequestClass(
            String name,
            long aimMicros,
            double aimPerWork,
            long deadlineMicros,
            Effect effect,
            Group group,
            long windowMicros,
            double worth,
            double lateWorth,
            boolean streamed) {}

    /** A tenant, with the requests a second over all balancers that are within its share. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** What the site allows. A CPU figure of 0 means no such limit. */
    record Limits(
            int maxAttempts,
            int maxOpen,
            boolean secondCopies,
            boolean mayCancel,
            boolean mayProbe,
            boolean mayTellPeers,
            boolean retryAfter,
            long maxRetryAfterMicros,
            long connectTimeoutMicros,
            long idleCloseMicros,
            int streamsPerConnection,
            double cpuMicrosPerSecond,
            double cpuMicrosPerRequest) {}

    /** The figures of the four rules. */
    record RuleFigures(
            long answerSlackMicros,
            long drainGraceMicros,
            long askWithinMicros,
            double coldCapacity,
            long coldMicros,
            double fallMultiple,
            long fallMicros) {}

    /** Points taken off the result for each unit of use. */
    record Prices(
            double connection,
            double crossZone,
            double membership,
            double fleet,
            double handshake,
            double lateFail,
            double moves,
            double origin,
            double peer,
            double probe,
            double waste) {}

    /** Weights of the parts of the result. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** The shared store behind the caches; {@code kind} is -1 where no listed server is the origin. */
    record Origin(Mode mode, int kind, double fallMultiple, long fallMicros) {}

    /** What an instance is told at start; {@code seed} is its only source of randomness. */
    record Settings(
            int index,
            int balancers,
            long seed,
            String zone,
            List<String> zones,
            List<String> kinds,
            List<String> tiers,
            int tier,
            List<RequestClass> classes,
            List<Tenant> tenants,
            Membership membership,
            Origin origin,
            Limits limits,
            RuleFigures rules,
            Prices prices,
            Goal goal,
            Reports reports,
            List<String> reportFields,
            Weights weights,
            boolean worthByWork,
            double overShareWorth,
            boolean retriesMarked,
            long tickMicros) {

        public Settings {
            check(balancers >= 1, "balancers");
            check(index >= 0 && index < balancers, "index");
            check(tickMicros >= 0, "tickMicros");
            check(overShareWorth >= 0, "overShareWorth");
            for (Object part : new Object[] {zone, membership, origin, limits, rules, prices, goal, reports, weights}) {
                check(part != null, "zone, membership, origin, limits, rules, prices, goal, reports or weights");
            }
            zones = copy(zones, "zones");
            kinds = copy(kinds, "kinds");
            tiers = copy(tiers, "tiers");
            classes = copy(classes, "classes");
            tenants = copy(tenants, "tenants");
            reportFields = copy(reportFields, "reportFields");
            for (RequestClass c : classes) {
                check(c.name() != null && c.effect() != null && c.group() != null, "classes");
                check(c.deadlineMicros() > 0, "classes.deadlineMicros");
                check(c.aimMicros() >= 0 && c.windowMicros() >= 0, "classes.aimMicros or classes.windowMicros");
                check(c.worth() >= 0 && c.lateWorth() >= 0, "classes.worth or classes.lateWorth");
            }
            for (Tenant t : tenants) {
                check(t.name() != null && t.quotaPerSecond() >= 0, "tenants");
            }
            check(origin.mode() != null, "origin.mode");
            check(limits.maxAttempts() >= 1, "limits.maxAttempts");
            check(rules.drainGraceMicros() >= 0, "rules.drainGraceMicros");
            check(rules.coldCapacity() >= 0 && rules.coldMicros() >= 0, "rules.coldCapacity or rules.coldMicros");
        }

        private static <T> List<T> copy(List<T> list, String name) {
            check(list != null && list.stream().allMatch(item -> item != null), name);
            return List.copyOf(list);
        }

        private static void check(boolean right, String name) {
            if (!right) {
                throw new IllegalArgumentException("setting " + name + " is missing or out of range");
            }
        }
    }

    /** A listed server. {@code startedMicros} is the clock time of its last start, 0 for long ago. */
    record Server(long id, double size, String kind, State state, String zone, long startedMicros, int cell) {}

    /** Everything an instance can hear. */
    sealed interface Event {}

    /** The server list, whole or in part; {@code servers} is empty for {@link ListKind#FAILED}. */
    record ServerList(ListKind kind, long version, List<Server> servers) implements Event {}

    /** A client's request; one final answer is owed from now on. {@code work} and {@code size} are 0 if not told. */
    record Request(
            String id,
            String requestClass,
            String tenant,
            boolean hasKey,
            long key,
            long deadlineMicros,
            long workMicros,
            double size,
            boolean retry,
            boolean write)
            implements Event {}

    /** The answer of a streamed class has begun; from here the attempt belongs to the client. */
    record AnswerBegan(String request, long server, long latencyMicros, int attempt) implements Event {}

    /** An attempt ended. {@code done}: the request is over. {@code note}: 1 hit, 2 miss, 3 miss being fetched. */
    record AttemptEnded(
            String request,
            int attempt,
            long server,
            Outcome outcome,
            long latencyMicros,
            boolean done,
            int note,
            double[] report)
            implements Event {}

    /** The client has left, or its answer is overdue; nothing is owed any more. */
    record RequestGone(String request) implements Event {}

    /** A timer set by {@link SetTimer} fell due. */
    record TimerFired(long token) implements Event {}

    /** The result of a {@link Probe}. */
    record Probed(long server, Outcome outcome, long latencyMicros, double[] report) implements Event {}

    /** A message of the balancer with number {@code from}. */
    record PeerMessage(int from, byte[] content) implements Event {}

    /** Everything an instance can order. */
    sealed interface Action {}

    /** Start the next attempt of a request; a time-out of 0 means the client's deadline. */
    record Send(String request, long server, long timeoutMicros) implements Action {}

    /** Stop waiting for one attempt. */
    record Cancel(String request, int attempt) implements Action {}

    /** Final answer: refused, trying again is harmless. */
    record Refuse(String request, long retryAfterMicros) implements Action {}

    /** Final answer: failed, without a promise. */
    record Fail(String request) implements Action {}

    /** Ask for a {@link TimerFired} after {@code delayMicros}. */
    record SetTimer(long token, long delayMicros) implements Action {}

    /** Ask a server for its load report. */
    record Probe(long server) implements Action {}

    /** Close idle connections to a server. */
    record CloseIdle(long server) implements Action {}

    /** Send at most 256 bytes to one peer, or to all with {@link #EVERYONE}. */
    record TellPeer(int peer, byte[] content) implements Action {
        public static final int EVERYONE = -1;
    }

    /** A line for the person on call. */
    record Log(String text) implements Action {}

    /** Subscribe to changes of the server list, or end the subscription. */
    record WatchServers(boolean on) implements Action {}

    /** Ask once for the whole server list. */
    record AskServers() implements Action {}
}
