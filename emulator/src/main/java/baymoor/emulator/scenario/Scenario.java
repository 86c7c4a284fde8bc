package baymoor.emulator.scenario;

import java.util.List;

/**
 * A simulated deployment and its test run: hosts, network, traffic and a script of faults. Times are in microseconds,
 * rates are per second, and sizes are in bytes. Immutable; {@link ScenarioReader} reads it from a file.
 */
public record Scenario(
        String name,
        String about,
        long seed,
        long warmUpMicros,
        long durationMicros,
        List<String> zones,
        Net net,
        Balancers balancers,
        List<RouterKind> routers,
        Origin origin,
        Discovery discovery,
        Traffic traffic,
        List<RequestClass> classes,
        List<Tenant> tenants,
        Keys keys,
        Figures figures,
        ModuleSettings moduleSettings,
        List<ScriptedEvent> script) {

    public Scenario {
        zones = List.copyOf(zones);
        routers = List.copyOf(routers);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        script = List.copyOf(script);
    }

    /**
     * One-way network delays in microseconds.
     *
     * @param same           within a zone
     * @param cross          between two zones
     * @param client         between a client and a balancer
     * @param jitter         mean of an exponentially distributed extra delay, as a fraction of the delay
     * @param datagram       delay of a datagram between balancers
     * @param datagramLoss   probability that a datagram is lost
     * @param datagramDouble probability that a datagram is delivered twice
     */
    public record Net(
            long same,
            Span cross,
            long client,
            double jitter,
            Span datagram,
            double datagramLoss,
            double datagramDouble) {}

    /**
     * The balancers and what they may use.
     *
     * @param count       balancers in all zones together, assigned to the zones round-robin
     * @param startMicros time from the start of a process until it listens
     * @param eventMicros processor time per event
     * @param sockets     socket limit of each balancer
     * @param peers       whether balancers exchange datagrams
     * @param probes      whether balancers may probe routers
     */
    public record Balancers(
            int count, long startMicros, long eventMicros, int sockets, boolean peers, boolean probes) {}

    /** What a router does with a queued request whose deadline has passed; {@code EITHER} chooses at random. */
    public enum Expired {
        BEGIN,
        DROP,
        EITHER
    }

    /**
     * Routers of one kind.
     *
     * @param speed           speed of a core, relative to the core for which work is stated
     * @param speedSpread     standard deviation of the speed between routers, as a fraction of it
     * @param slots           requests in service at a time, per core
     * @param room            queue length, per core
     * @param thrash          fraction by which each request in service beyond {@code crowd} slows the router down
     * @param crowd           requests in service per core up to which the router runs at full speed
     * @param memory          cache size in bytes
     * @param ttlMicros       lifetime of a cached object
     * @param coldShare       fraction of its capacity that a router has when it starts
     * @param coldMicros      time from the start until a router has its full capacity
     * @param warmsByWork     whether serving requests shortens that time
     * @param connections     connection limit of each router
     * @param handshakeMicros work added to the first request on a connection
     * @param idleMicros      time after which the router closes an idle connection
     * @param missMicros      work of answering a cache miss
     * @param errorRate       probability that a request fails
     * @param pause           length of a process pause, such as a garbage collection
     * @param pauseEvery      time between two pauses
     */
    public record RouterKind(
            String name,
            int count,
            int cores,
            double speed,
            double speedSpread,
            int slots,
            int room,
            double thrash,
            double crowd,
            long memory,
            long ttlMicros,
            double coldShare,
            Span coldMicros,
            boolean warmsByWork,
            int connections,
            long handshakeMicros,
            long idleMicros,
            long missMicros,
            double errorRate,
            Expired expired,
            Span pause,
            Span pauseEvery) {}

    /**
     * The origin.
     *
     * @param capacity     requests per second
     * @param slots        requests in service at a time
     * @param room         queue length
     * @param sigma        standard deviation of the logarithm of the log-normal service time
     * @param errorRate    probability that a request fails
     * @param fallMultiple multiple of the capacity that makes the origin fail
     * @param fallMicros   time for which that load has to last
     * @param downMicros   outage after such a failure
     * @param mostFalls    maximum number of failures in a run
     */
    public record Origin(
            double capacity,
            int slots,
            int room,
            double sigma,
            double errorRate,
            double fallMultiple,
            long fallMicros,
            Span downMicros,
            int mostFalls) {}

    /**
     * The discovery service. It works off calls one after another.
     *
     * @param pushed        whether an agent on each balancer's machine receives the list and answers in its place
     * @param notice        time until it detects that a process ended or drains
     * @param silent        time until it detects that a process stopped responding
     * @param add           time until it lists a new process
     * @param spread        time until a change reaches a watch or an agent
     * @param callMicros    service time of a call
     * @param lineMicros    service time of a call per entry of the list
     * @param timeoutMicros queueing time beyond which a call fails
     * @param failedMicros  service time of a failed call
     * @param atOnce        whether a call that would time out fails immediately
     * @param startsAsHeld  whether a balancer starts with the list last written to it, not with the current one
     * @param busyWhenDown  whether the service rejects calls while it is down, instead of refusing connections
     */
    public record Discovery(
            boolean pushed,
            Span notice,
            Span silent,
            Span add,
            Span spread,
            long callMicros,
            long lineMicros,
            long timeoutMicros,
            long failedMicros,
            boolean atOnce,
            boolean startsAsHeld,
            boolean busyWhenDown) {}

    /**
     * Open-loop traffic.
     *
     * @param rate             mean arrivals per second
     * @param zoneShares       share of each zone, in the order of the zones
     * @param wave             amplitude of a sine that modulates the rate, as a fraction of it
     * @param wavePeriodMicros period of that sine
     * @param retry            probability that a client retries
     * @param backoff          delay before a retry
     * @param honour           probability that a client waits as long as the balancer's retry hint says
     * @param leastTry         minimum timeout of an attempt, as a fraction of the class's time limit
     * @param mostTry          maximum timeout of an attempt, as a fraction of the class's time limit
     * @param impatient        probability that a client closes the connection before the timeout
     * @param frontNotice      time until the front-end load balancer detects that a balancer ended
     */
    public record Traffic(
            double rate,
            List<Double> zoneShares,
            double wave,
            long wavePeriodMicros,
            double retry,
            Span backoff,
            double honour,
            double leastTry,
            double mostTry,
            double impatient,
            Span frontNotice) {
        public Traffic {
            zoneShares = List.copyOf(zoneShares);
        }
    }

    /**
     * Whether a request may run twice: {@code SAFE} always, {@code KEYED} is deduplicated by its idempotency key,
     * {@code UNSAFE} never.
     */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * A class of requests.
     *
     * @param share        share of all requests
     * @param write        whether it goes to the origin and invalidates the cached copies of its key
     * @param work         processor time on a core of speed 1
     * @param aimMicros    time within which an answer is in time
     * @param giveUpMicros time after which a client gives up
     * @param windowMicros time for which an idempotency key is remembered
     * @param worth        weight of a request in the score
     */
    public record RequestClass(
            String name,
            double share,
            Effect effect,
            boolean write,
            Span work,
            long aimMicros,
            long giveUpMicros,
            long windowMicros,
            double worth) {}

    /** A tenant and its share of the requests. */
    public record Tenant(String name, double share) {}

    /**
     * The keys that clients request.
     *
     * @param count     number of keys
     * @param exponent  exponent of the Zipf distribution of their popularity
     * @param drift     fraction of the popular keys that new ones replace per second
     * @param changes   keys changed at the origin per second
     * @param size      mean size of a value in bytes
     * @param sizeSigma standard deviation of the logarithm of the size
     * @param prefill   whether routers hold the popular keys when the run begins
     */
    public record Keys(
            int count, double exponent, double drift, double changes, long size, double sizeSigma, boolean prefill) {}

    /**
     * Limits that the balancers have to keep, as their settings state them.
     *
     * @param maxAttempts         attempts per request
     * @param connectMicros       timeout of a connection attempt
     * @param answerSlackMicros   time after the deadline within which a request has to be answered
     * @param drainGraceMicros    time after the notice of a drain in which a router may still be sent requests
     * @param askWithinMicros     time within which a balancer has to ask discovery for the list
     * @param tipMultiple         multiple of its present capacity at which a router fails
     * @param tipMicros           time over which that load is measured
     * @param maxRetryAfterMicros longest retry hint
     * @param retryAfter          whether a refusal carries a retry hint
     * @param mayCancel           whether an attempt may be cancelled
     * @param reports             how routers report their load
     */
    public record Figures(
            int maxAttempts,
            long connectMicros,
            long answerSlackMicros,
            long drainGraceMicros,
            long askWithinMicros,
            double tipMultiple,
            long tipMicros,
            long maxRetryAfterMicros,
            boolean retryAfter,
            boolean mayCancel,
            Reports reports) {}

    /**
     * The request attributes that balancers see, and their budgets.
     *
     * @param work                whether requests carry an estimate of their work
     * @param sizes               whether requests carry the size of their value
     * @param retries             whether retries are marked as such
     * @param byWork              whether the worth of a request is multiplied by its work
     * @param overShare           weight of requests beyond a tenant's share
     * @param cpuMicros           processor time for decisions per second
     * @param cpuPerRequestMicros processor time for decisions per request, in addition
     * @param streams             concurrent requests per connection
     */
    public record ModuleSettings(
            boolean work,
            boolean sizes,
            boolean retries,
            boolean byWork,
            double overShare,
            long cpuMicros,
            double cpuPerRequestMicros,
            int streams) {}

    /** How routers report their load: not at all, with every answer, or in reply to a probe. */
    public enum Reports {
        OFF,
        INLINE,
        ON_PROBE
    }

    /** Scripted faults and load changes. */
    public enum EventKind {
        SURGE,
        SCAN,
        CUT,
        SLOW_ORIGIN,
        STOP_ORIGIN,
        RESTART_BALANCERS,
        KILL_BALANCER,
        VANISH_BALANCER,
        STALL_BALANCER,
        RESTART_ROUTER,
        REPLACE_ROUTER,
        DRAIN_ROUTER,
        VANISH_ROUTER,
        PAUSE_ROUTER,
        SLOW_ROUTER,
        HANG_ROUTER,
        BAD_ROUTER,
        DISCOVERY_DOWN,
        DISCOVERY_SLOW,
        LOSE_DATAGRAMS,
        FLUSH,
        HOT_KEY
    }

    /** How a faulty router corrupts its answers. */
    public enum AnswerFault {
        GARBLE,
        CUT_SHORT,
        DOUBLE,
        RESET,
        ERROR,
        SILENT
    }

    /**
     * An event of the script. Which fields apply depends on its kind.
     *
     * @param atMicros     time from the end of the warm-up
     * @param forMicros    duration
     * @param factor       multiple of the load or of the service time
     * @param share        share of the requests or hosts affected
     * @param count        number of hosts affected, chosen by the seed
     * @param zone         zone affected, empty for all
     * @param withinMicros time over which restarts are spread
     * @param atOnce       share of the hosts that may be down at a time
     * @param planned      whether a process is told to stop before a restart
     * @param line         line of the file at which the event is defined
     */
    public record ScriptedEvent(
            EventKind what,
            long atMicros,
            long forMicros,
            double factor,
            double share,
            int count,
            String zone,
            long withinMicros,
            double atOnce,
            AnswerFault answerFault,
            boolean planned,
            int line) {}

    /** Returns the number of routers of all kinds. */
    public int routerCount() {
        return routers.stream().mapToInt(RouterKind::count).sum();
    }
}
