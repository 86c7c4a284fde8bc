package baymoor.scale.run;

import baymoor.scale.hollow.Status;
import java.util.ArrayList;
import java.util.List;

/**
 * How long the tier took, after each fault of the script was over, until all hollow balancers ran and had lately heard every other
 * balancer that runs.
 */
public final class Recoveries {

    /** A fault, when it was over, and the milliseconds until all was well again; -1 where that never was. */
    public record Recovery(String fault, double atSeconds, double recoveredMs) {}

    private static final double NEVER = -1;

    /** A fault that is over and not recovered from; the orders are those that ended it. */
    private record Pending(String fault, long atMicros, List<Integer> orders) {}

    private final HollowFleet hollow;
    private final int expected;
    private final List<Pending> pending = new ArrayList<>();
    private final List<Recovery> done = new ArrayList<>();
    private long fromMicros;

    /** @param expected hollow balancers that run when all is well */
    Recoveries(HollowFleet hollow, int expected) {
        this.hollow = hollow;
        this.expected = expected;
    }

    /** The time that counts begins. */
    synchronized void begin(long atMicros) {
        fromMicros = atMicros;
    }

    /** A fault is over, by the orders given so far. */
    synchronized void over(String fault, long atMicros) {
        pending.add(new Pending(fault, atMicros, hollow.ordered()));
    }

    /** Looks whether all is well. */
    synchronized void look(long nowMicros) {
        Status status = hollow.status();
        if (status.running() < expected || status.fresh() < expected) {
            return;
        }
        pending.removeIf(one -> {
            boolean seen = hollow.statusAfter(one.orders());
            if (seen) {
                done.add(new Recovery(one.fault(), seconds(one.atMicros()), (nowMicros - one.atMicros()) / 1e3));
            }
            return seen;
        });
    }

    private double seconds(long atMicros) {
        return (atMicros - fromMicros) / 1e6;
    }

    /** Of all faults that are over. */
    synchronized List<Recovery> all() {
        List<Recovery> all = new ArrayList<>(done);
        pending.forEach(one -> all.add(new Recovery(one.fault(), seconds(one.atMicros()), NEVER)));
        return all;
    }
}
