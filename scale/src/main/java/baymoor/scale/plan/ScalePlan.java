package baymoor.scale.plan;

import baymoor.emulator.scenario.Span;
import java.util.List;

/**
 * What a scale run plays: a tier of balancers at their places, its routers and traffic, and a script of faults. Times are
 * microseconds, rates a second. Read from a file by {@link ScalePlanReader}.
 *
 * @param slowdown real seconds to a second of the run, with hollow balancers only
 */
public record ScalePlan(
        String name,
        long seed,
        int slowdown,
        long warmUpMicros,
        long durationMicros,
        Places places,
        Balancers balancers,
        Network network,
        Routers routers,
        Origin origin,
        Traffic traffic,
        Changes changes,
        Discovery discovery,
        List<Act> script) {

    public ScalePlan {
        script = List.copyOf(script);
    }

    /**
     * @param hollow       balancers that draw their requests, many to a process
     * @param real         balancers that are processes of the serving program
     * @param cpuMicros    processor time a second that each is told it may spend on decisions
     */
    public record Balancers(int hollow, int real, long cpuMicros) {
        /** All of them. */
        public int count() {
            return hollow + real;
        }
    }

    /** Delays one way between two balancers, by the smallest place that holds both, and the share of datagrams lost. */
    public record Network(Span sameSite, Span sameZone, Span sameRegion, Span betweenRegions, double loss) {

        /** Whether datagrams pass at once and none is lost. */
        public boolean plain() {
            return loss == 0
                    && sameSite.most() == 0
                    && sameZone.most() == 0
                    && sameRegion.most() == 0
                    && betweenRegions.most() == 0;
        }
    }

    /**
     * @param latency of an answer from a router that holds the key
     * @param miss    share of reads whose key the router does not hold
     */
    public record Routers(int count, Span latency, double miss) {}

    /** @param capacity fetches a second that it answers in its usual time */
    public record Origin(double capacity, Span latency) {}

    /** @param perBalancer requests a second at each balancer */
    public record Traffic(double perBalancer, int keys, double exponent, int valueBytes) {}

    /** @param rate routers a second that drain for {@code lasting}; each makes two changes of the list */
    public record Changes(double rate, long lasting) {}

    /** @param spread until a change is written to a watch; a call costs {@code call} and {@code line} for each entry */
    public record Discovery(Span spread, long callMicros, long lineMicros) {}

    /** What the script may do. */
    public enum What {
        CUT_ZONE,
        CUT_REGION,
        LOSE_ZONE,
        KILL_BALANCERS,
        RESTART_BALANCERS,
        LOSE_DATAGRAMS,
        DRAIN_ROUTER,
        DISCOVERY_DOWN
    }

    /**
     * One act of the script.
     *
     * @param place        number of the zone or region that it befalls, or -1
     * @param share        of the balancers, or of the datagrams
     * @param count        of balancers or routers
     * @param withinMicros over which restarts are spread
     */
    public record Act(
            What what, long atMicros, long forMicros, int place, double share, int count, long withinMicros) {}

    /** The same plan with another number of balancers: the real ones stay, the hollow ones make up the rest. */
    public ScalePlan withBalancers(int count) {
        int real = Math.min(count - 1, balancers.real());
        Balancers changed = new Balancers(count - real, real, balancers.cpuMicros());
        double grown = (double) count / balancers.count();
        return new ScalePlan(
                name,
                seed,
                slowdown,
                warmUpMicros,
                durationMicros,
                places,
                changed,
                network,
                routers,
                new Origin(origin.capacity() * grown, origin.latency()),
                traffic,
                changes,
                discovery,
                script);
    }

    /** The same plan on a slower clock. */
    public ScalePlan withSlowdown(int times) {
        return new ScalePlan(
                name,
                seed,
                times,
                warmUpMicros,
                durationMicros,
                places,
                balancers,
                network,
                routers,
                origin,
                traffic,
                changes,
                discovery,
                script);
    }

    /** The same plan with another seed. */
    public ScalePlan withSeed(long other) {
        return new ScalePlan(
                name,
                other,
                slowdown,
                warmUpMicros,
                durationMicros,
                places,
                balancers,
                network,
                routers,
                origin,
                traffic,
                changes,
                discovery,
                script);
    }
}
