package baymoor.benchmarks;

import java.util.List;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;

/** One {@code ServerList} with a single change: a router leaves and comes back in turn. */
@org.openjdk.jmh.annotations.State(Scope.Thread)
public class ServerListBenchmark {

    private static final int ROUTER = 1;

    @Param({"4x13x13", "14x60x15", "100x200x15", "640x180x15"})
    public String size;

    private Instance instance;
    private long version = 1;
    private boolean present = true;

    @Setup(Level.Trial)
    public void start() {
        instance = new Instance(TierSize.parse(size), 0);
        instance.tick();
    }

    @Benchmark
    public List<Action> change() {
        present = !present;
        version++;
        State state = present ? State.RUNNING : State.GONE;
        return instance.handle(new ServerList(ListKind.CHANGES, version, List.of(Instance.router(ROUTER, state))));
    }
}
