package baymoor.emulator.scenario;

import java.util.List;

/**
 * A world and what happens in it: fleet, traffic, and a script of troubles. All times are microseconds, all rates a
 * second, all sizes bytes. Read from a file by {@link ScenarioReader}.
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

    /** Delays one way. {@code jitter}: mean of an exponential share on top. */
    public record Net(
            long same,
            Span cross,
            long client,
            double jitter,
            Span datagram,
            double datagramLoss,
            double datagramDouble) {}

    /**
     * @param count       over all zones, dealt out in turn
     * @param startMicros from the start of a process to its listening
     * @param eventMicros processor time for each event
     * @param sockets     descriptors that each may hold
     */
    public record Balancers(
            int count, long startMicros, long eventMicros, int sockets, boolean peers, boolean probes) {}

    /** What a router does with a request whose time is up while it waits. */
    public enum Expired {
        BEGIN,
        DROP,
        EITHER
    }

    /**
     * Routers of one kind. {@code speed}: of a core, against the core that work is stated for. {@code slots}: in work
     * at a time for each core; {@code room}: waiting, for each core. More in work than {@code crowd} for each core
     * costs the share {@code thrash} of the speed for each one more.
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
     * The origin. {@code capacity}: requests a second; {@code slots}: in work at a time; {@code sigma}: of the
     * log-normal service time. Sent {@code fallMultiple} times its capacity for {@code fallMicros} it stops for
     * {@code downMicros}.
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
     * Discovery. {@code notice}: until it knows that a process ended or drains; {@code silent}: until it knows of one
     * that fell silent; {@code add}: of a new one; {@code spread}: until a change is written to a watch; a call costs
     * {@code callMicros} and {@code lineMicros} for each entry, and fails after waiting {@code timeoutMicros}, or where it
     * would have to and it fails {@code atOnce}, which costs {@code failedMicros}. A balancer starts with the list as it is, or
     * {@code startsAsHeld}, with the one that was written to it last. While it is down it takes no connections, or
     * {@code busyWhenDown}, answers each call as it does where there are too many. Where
     * lists are {@code pushed}, an agent on each balancer's machine has them {@code spread} later and answers at once.
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
     * Open-loop traffic. {@code zoneShares}: of the zones in their order; {@code wave}: swing of a slow sine with the
     * period {@code wavePeriodMicros}. A client retries with chance {@code retry}, after {@code backoff}; gives a try
     * up after {@code tryShare} of its class's time; {@code impatient}: share that leaves early. The front goes on
     * sending to a dead balancer for {@code frontNotice}.
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

    /** Whether a request of a class may run twice. */
    public enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** A class of requests; {@code write}: goes to the origin and voids the copies of its key. */
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
     * Keys: {@code count} of them, popular after Zipf with {@code exponent}; in a second {@code drift} of the popular
     * ones are replaced by new ones; {@code changes}: of keys a second at the origin. {@code prefill}: whether routers
     * hold what is popular when the run begins.
     */
    public record Keys(
            int count, double exponent, double drift, double changes, long size, double sizeSigma, boolean prefill) {}

    /** The figures of the rules, as the settings give them to a balancer. */
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
     * What a balancer is told beside the request itself, and what it is granted. {@code work}, {@code sizes},
     * {@code retries}: whether requests carry their work, their value's size and whether they come again;
     * {@code byWork}: whether worth counts by work; {@code cpuMicros}: processor time for decisions in a second;
     * {@code streams}: requests that a connection may carry at a time.
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

    /** How routers report their load: not at all, with every answer, or when they are asked. */
    public enum Reports {
        OFF,
        INLINE,
        ON_PROBE
    }

    /** What can happen to the world. */
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

    /** How a bad router spoils its answers. */
    public enum Spoil {
        GARBLE,
        CUT_SHORT,
        DOUBLE,
        RESET,
        ERROR,
        SILENT
    }

    /**
     * One act of the script: {@code count} of its objects (chosen by the seed, or {@code zone}'s), for a time, by a
     * factor or a share. {@code withinMicros}: spread over so long; {@code atOnce}: so large a share at a time.
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
            Spoil spoil,
            boolean planned,
            int line) {}

    /** Routers of all kinds together. */
    public int routerCount() {
        return routers.stream().mapToInt(RouterKind::count).sum();
    }
}
