package baymoor.benchmarks;

import java.util.List;
import java.util.SplittableRandom;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.Send;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One {@code Request} and the {@code AttemptEnded} that serves it at its router; no ticks between. */
@State(Scope.Thread)
public class RequestBenchmark {

    /** Time between two requests at 781 a second. */
    private static final long GAP_MICROS = 1_280;

    private static final long LATENCY_MICROS = 20_000;
    private static final int IDS = 1024;
    private static final double[] NO_REPORT = {};

    @Param({"4x13x13", "14x60x15", "100x200x15", "320x180x15", "640x180x15"})
    public String size;

    /** Different keys, drawn evenly. */
    @Param({"1000", "1000000"})
    public int keys;

    private final String[] ids = new String[IDS];
    private final SplittableRandom random = new SplittableRandom(1);
    private Instance instance;
    private int count;

    @Setup(Level.Trial)
    public void start() {
        instance = new Instance(TierSize.parse(size), 0);
        instance.tick();
        for (int i = 0; i < IDS; i++) {
            ids[i] = String.format("%016x", random.nextLong());
        }
    }

    @Benchmark
    public List<Action> requestServed() {
        instance.advance(GAP_MICROS);
        String id = ids[count++ % IDS];
        List<Action> actions = instance.handle(instance.request(id, random.nextInt(keys)));
        long router = ((Send) actions.get(0)).server();
        return instance.handle(new AttemptEnded(id, 0, router, Outcome.SERVED, LATENCY_MICROS, true, 0, NO_REPORT));
    }
}
