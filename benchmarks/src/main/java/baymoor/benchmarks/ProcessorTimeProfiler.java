package baymoor.benchmarks;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Collection;
import java.util.List;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.infra.IterationParams;
import org.openjdk.jmh.profile.InternalProfiler;
import org.openjdk.jmh.results.AggregationPolicy;
import org.openjdk.jmh.results.IterationResult;
import org.openjdk.jmh.results.ScalarResult;

/**
 * Processor time of the whole process for each operation, garbage collection included. Unlike the time on the clock it does
 * not grow while other programs hold the processors.
 */
public final class ProcessorTimeProfiler implements InternalProfiler {

    private static final String METRIC = "cpu.norm";
    private static final double NANOS_PER_MICRO = 1_000;

    private final OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private long beforeNanos;

    @Override
    public String getDescription() {
        return "processor time of the process for each operation";
    }

    @Override
    public void beforeIteration(BenchmarkParams benchmark, IterationParams iteration) {
        beforeNanos = system.getProcessCpuTime();
    }

    @Override
    public Collection<ScalarResult> afterIteration(
            BenchmarkParams benchmark, IterationParams iteration, IterationResult result) {
        long nanos = system.getProcessCpuTime() - beforeNanos;
        long operations = result.getMetadata().getAllOps();
        return List.of(new ScalarResult(METRIC, nanos / NANOS_PER_MICRO / operations, "us/op", AggregationPolicy.AVG));
    }
}
