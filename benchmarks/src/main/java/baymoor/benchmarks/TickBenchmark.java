package baymoor.benchmarks;

import java.util.List;
import merlinstep.Decisions.Action;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One {@code TimerFired} of a balancer that has heard all others. */
@State(Scope.Thread)
public class TickBenchmark {

    /**
     * How far ahead of the clock the peers' messages arrive, so that all peers count as fresh throughout the measurement
     * although no message is part of it.
     */
    private static final long FRESH_MICROS = 1_000_000_000_000_000L;

    @Param({
        "4x13x13",
        "14x60x15",
        "14x60x60",
        "100x60x15",
        "100x200x15",
        "100x200x67",
        "320x180x15",
        "320x180x67",
        "640x60x15",
        "640x180x0",
        "640x180x15",
        "640x180x67"
    })
    public String size;

    private Instance instance;

    @Setup(Level.Trial)
    public void start() {
        TierSize tier = TierSize.parse(size);
        instance = new Instance(tier, 0);
        instance.tick();
        Peers peers = new Peers(tier);
        for (int i = 0; i < peers.count(); i++) {
            instance.handle(instance.nowMicros() + FRESH_MICROS, peers.next());
        }
    }

    @Benchmark
    public List<Action> tick() {
        return instance.tick();
    }
}
