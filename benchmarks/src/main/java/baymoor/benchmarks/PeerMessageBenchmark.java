package baymoor.benchmarks;

import java.util.List;
import merlinstep.Decisions.Action;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One {@code PeerMessage}, from each of the other balancers in turn; without the socket that it came through. */
@State(Scope.Thread)
public class PeerMessageBenchmark {

    @Param({"4x13x13", "14x60x60", "100x200x67", "320x180x67", "640x180x0", "640x180x15", "640x180x67"})
    public String size;

    private Instance instance;
    private Peers peers;

    @Setup(Level.Trial)
    public void start() {
        TierSize tier = TierSize.parse(size);
        instance = new Instance(tier, 0);
        instance.tick();
        peers = new Peers(tier);
    }

    @Benchmark
    public List<Action> message() {
        instance.advance(1);
        return instance.handle(peers.next());
    }
}
