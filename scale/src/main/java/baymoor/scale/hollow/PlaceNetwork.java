package baymoor.scale.hollow;

import java.util.List;
import java.util.SplittableRandom;

/** What lies between the places of balancers for datagrams: delays, losses and cuts. It knows no socket. */
public final class PlaceNetwork {

    /** A datagram that doesn't come through. */
    public static final long LOST = -1;

    private final Assignment assignment;
    private final SplittableRandom random;
    /** How many cuts keep one zone's words from another. */
    private final int[][] cuts;

    private double loss;
    private boolean plain;

    /** @param seed of the delays and losses */
    public PlaceNetwork(Assignment assignment, long seed) {
        this.assignment = assignment;
        random = new SplittableRandom(seed);
        int zones = assignment.regions().size();
        cuts = new int[zones][zones];
        loss = assignment.ways().loss();
        plain = plainWays();
    }

    private boolean plainWays() {
        Assignment.Ways ways = assignment.ways();
        return ways.loss() == 0
                && ways.sameSite().get(1) == 0
                && ways.sameZone().get(1) == 0
                && ways.sameRegion().get(1) == 0
                && ways.betweenRegions().get(1) == 0;
    }

    /** Whether every datagram passes at once. */
    public boolean plain() {
        return plain;
    }

    /** Cuts two zones off from each other, one way, or joins them again. */
    public void cut(int from, int to, boolean cut) {
        cuts[from][to] += cut ? 1 : -1;
        plain = false;
    }

    /** Loses so large a share of the datagrams beside what is lost always. */
    public void lose(double share) {
        loss = Math.max(assignment.ways().loss(), share);
        plain = false;
    }

    /** Microseconds until a datagram from one balancer arrives at another, or {@link #LOST}. */
    public long delayMicros(int from, int to) {
        int near = assignment.zones().get(from);
        int far = assignment.zones().get(to);
        if (cuts[near][far] > 0 || loss > 0 && random.nextDouble() < loss) {
            return LOST;
        }
        Assignment.Ways ways = assignment.ways();
        if (near != far) {
            boolean sameRegion =
                    assignment.regions().get(near).equals(assignment.regions().get(far));
            return within(sameRegion ? ways.sameRegion() : ways.betweenRegions());
        }
        boolean sameSite =
                assignment.sites().get(from).equals(assignment.sites().get(to));
        return within(sameSite ? ways.sameSite() : ways.sameZone());
    }

    private long within(List<Long> span) {
        long least = span.get(0);
        long most = span.get(1);
        return most <= least ? least : random.nextLong(least, most + 1);
    }
}
