package merlinstep;

import java.util.List;

/**
 * Interface of the decision module: its {@link Settings}, the {@link Event}s that it receives, the {@link Action}s that
 * it requests, and the one entry point, {@link #decide}.
 *
 * <p>An embedder creates one instance per balancer, passes every event to it with the time at which the event happened,
 * and carries out the actions in the order in which the sink receives them. Times are microseconds of one monotonic
 * clock of any origin. An instance starts no threads and reads neither clock nor files. Not safe for concurrent use.
 */
public interface Decisions {

    /**
     * Handles one event.
     *
     * @param nowMicros time of the event; never less than that of the event before
     * @param sink receives the resulting actions, in order, before this method returns
     */
    void decide(long nowMicros, Event event, Sink sink);

    /** Returns a new instance without any state but its settings. */
    static Decisions start(Settings settings) {
        return new Rules(settings);
    }

    /** Receives the actions of an instance in the order in which they are to be carried out. */
    @FunctionalInterface
    interface Sink {
        /** Receives the next action. */
        void accept(Action action);
    }

    /** Outcome of an attempt. */
    enum Outcome {
        /** The server answered the request. */
        SERVED(false),
        /** The server answered with an error. */
        ERROR(false),
        /** The server refused the request unprocessed, for lack of capacity. */
        FULL(true),
        /** No answer within the timeout. */
        TIMED_OUT(false),
        /** No connection could be established. */
        NOT_CONNECTED(true),
        /** The connection broke before the answer was complete. */
        RESET(false),
        /** Cancelled with {@link Cancel}. */
        CANCELLED(false),
        /** The request was never sent. */
        NOT_SENT(true),
        /** The cache lacks the key and did not fetch it. */
        MISS(true);

        private final boolean nothingRan;

        Outcome(boolean nothingRan) {
            this.nothingRan = nothingRan;
        }

        /** Returns whether the server has certainly not processed the request. */
        public boolean provesNothingRan() {
            return nothingRan;
        }
    }

    /** Whether a request of a class may be processed more than once. */
    enum Effect {
        /** Any number of times. */
        SAFE,
        /** Only by servers of its {@link Group}, which drop repeats of its key. */
        KEYED,
        /** At most once. */
        UNSAFE
    }

    /** The servers that drop the repeat of a {@link Effect#KEYED} request. */
    enum Group {
        /** Every server. */
        ALL,
        /** Servers in the zone of the first attempt. */
        ZONE,
        /** Servers in the cell of the first attempt. */
        CELL
    }

    /** How the server list arrives: pushed, or through a watch that has to be requested. */
    enum Membership {
        PUSH,
        ASK
    }

    /** How load reports of servers arrive: with each answer, with the answers to {@link Probe}s, or not at all. */
    enum Reports {
        WITH_ANSWERS,
        WITH_PROBES,
        NONE
    }

    /** Meaning of the size of a listed server. */
    enum Weights {
        /** None: sizes are ignored. */
        NONE,
        /** Its nominal capacity. */
        NOMINAL,
        /** An approximate capacity. */
        ROUGH,
        /** Its free capacity, which falls with load. */
        LIVE
    }

    /** What a cache does on a miss: fetch from the origin (read-through), or answer with a miss (cache-aside). */
    enum Mode {
        THROUGH,
        ASIDE
    }

    /** State of a listed server; one that is draining finishes its requests and accepts no new ones. */
    enum State {
        RUNNING,
        DRAINING,
        GONE
    }

    /** Kind of a {@link ServerList} event. */
    enum ListKind {
        /** Only the servers that changed. */
        CHANGES,
        /** The whole list. */
        WHOLE,
        /** The whole list as last stored; it may be outdated. */
        LAST_KNOWN,
        /** A list call or watch failed. */
        FAILED
    }

    /**
     * A class of requests.
     *
     * @param aimMicros time within which an answer has its full worth; 0 for the deadline
     * @param aimPerWork multiple of the request's own work that is added to the aim
     * @param deadlineMicros time after which the client gives up
     * @param windowMicros time since the first attempt for which repeats are dropped
     * @param worth worth of an answer within the aim
     * @param lateWorth factor on the worth of an answer after the aim
     * @param streamed whether answers are streamed, see {@link AnswerBegan}
     */
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

    /** A tenant; its quota, in requests per second, counts over all balancers. */
    record Tenant(String name, double share, double quotaPerSecond) {}

    /** Limits of the site, per balancer; a CPU limit of 0 stands for none, it is per second or per request. */
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

    /**
     * Parameters of the site's rules on draining, discovery and cold servers.
     *
     * @param answerSlackMicros tolerance after a deadline for the final answer
     * @param drainGraceMicros time for which new attempts at a draining server are tolerated
     * @param askWithinMicros longest time without a confirmed server list
     * @param coldCapacity fraction of its capacity that a server has at its start
     * @param coldMicros time until it has its full capacity
     * @param fallMultiple multiple of its current capacity at which a cold server fails
     * @param fallMicros time over which that load is measured
     */
    record RuleFigures(
            long answerSlackMicros,
            long drainGraceMicros,
            long askWithinMicros,
            double coldCapacity,
            long coldMicros,
            double fallMultiple,
            long fallMicros) {}

    /** Points deducted from the score for each unit of use. */
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

    /** Weights of the parts of the score. */
    record Goal(double whole, double worstWindow, double worstClass, double worstTenant) {}

    /** The shared store behind the caches; {@code kind} indexes {@link Settings#kinds}, -1 if it isn't listed. */
    record Origin(Mode mode, int kind, double fallMultiple, long fallMicros) {}

    /**
     * Settings of an instance. Lists are copied.
     *
     * @param index number of this balancer, from 0
     * @param seed the only source of randomness
     * @param kinds kinds of listed servers, see {@link Server#kind}
     * @param reportFields names of the values in load reports, in order
     * @param overShareWorth factor on the worth of a tenant's requests above its quota
     * @param tickMicros resolution of timers
     */
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

        /** Copies the settings; throws an exception that names a missing one or one out of range. */
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

        private static void check(boolean valid, String name) {
            if (!valid) {
                throw new IllegalArgumentException("setting " + name + " is missing or out of range");
            }
        }
    }

    /** A listed server; a {@code startedMicros} of 0 is unknown or long ago, and kind and zone may be null. */
    record Server(long id, double size, String kind, State state, String zone, long startedMicros, int cell) {}

    /** An input of an instance. */
    sealed interface Event {}

    /** The server list, whole or in part; without servers for {@link ListKind#FAILED}. */
    record ServerList(ListKind kind, long version, List<Server> servers) implements Event {}

    /**
     * A client's request, which is owed one final answer. Work and size are estimates, 0 if unknown.
     *
     * @param key hash of its key; only if {@code hasKey}
     * @param deadlineMicros time at which the client gives up
     */
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

    /** The answer of a streamed class has begun; it is passed to the client, and no other attempt may replace it. */
    record AnswerBegan(String request, long server, long latencyMicros, int attempt) implements Event {}

    /**
     * An attempt has ended; the first of a request has number 0. {@code done}: so has its request.
     *
     * @param note 1 for a hit, 2 for a miss, 3 for a miss that is being fetched, else 0
     */
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

    /** The client has disconnected or its deadline is over; the request is owed no answer any more. */
    record RequestGone(String request) implements Event {}

    /** A timer set by {@link SetTimer} has expired. */
    record TimerFired(long token) implements Event {}

    /** The result of a {@link Probe}. */
    record Probed(long server, Outcome outcome, long latencyMicros, double[] report) implements Event {}

    /** A message from the balancer with index {@code from}. */
    record PeerMessage(int from, byte[] content) implements Event {}

    /** An output of an instance. */
    sealed interface Action {}

    /** Starts the next attempt of a request; a timeout of 0 stands for the client's deadline. */
    record Send(String request, long server, long timeoutMicros) implements Action {}

    /** Cancels one attempt. */
    record Cancel(String request, int attempt) implements Action {}

    /** Final answer: the request is refused, and a retry is harmless; a delay of 0 advises none. */
    record Refuse(String request, long retryAfterMicros) implements Action {}

    /** Final answer: the request failed and may have been processed. */
    record Fail(String request) implements Action {}

    /** Requests a {@link TimerFired} after {@code delayMicros}. */
    record SetTimer(long token, long delayMicros) implements Action {}

    /** Requests a load report from a server. */
    record Probe(long server) implements Action {}

    /** Closes idle connections to a server. */
    record CloseIdle(long server) implements Action {}

    /** Sends a message of at most 256 bytes to one peer, or to all with {@link #EVERYONE}. */
    record TellPeer(int peer, byte[] content) implements Action {
        /** Stands for all peers. */
        public static final int EVERYONE = -1;
    }

    /** Writes a line to the operator's log. */
    record Log(String text) implements Action {}

    /** Starts or ends a watch of the server list. */
    record WatchServers(boolean on) implements Action {}

    /** Requests the whole server list once. */
    record AskServers() implements Action {}
}
