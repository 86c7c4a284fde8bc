package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import baymoor.scale.real.CpuParts;
import baymoor.scale.real.RealSample;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * The figures of each real balancer. Its messages are what it counts itself; what one is long is known from the hollow balancers,
 * which hear it and tell it. Its processor time is parted by a line through all real ones, whose numbers of requests differ: what
 * a request adds is serving, the rest is control.
 */
final class RealFigures {

    /** For a line whose slope says anything. */
    private static final int LEAST_FOR_A_LINE = 4;

    private final List<RealSample> before;
    private final List<RealSample> after;
    private final Figures hollow;

    /** One that was started again between the two has no figures. */
    RealFigures(List<RealSample> before, List<RealSample> after, Figures hollow) {
        this.before = new ArrayList<>();
        this.after = new ArrayList<>();
        this.hollow = hollow;
        for (int i = 0; i < after.size(); i++) {
            if (before.get(i).pid() == after.get(i).pid()) {
                this.before.add(before.get(i));
                this.after.add(after.get(i));
            }
        }
    }

    private double seconds(int i) {
        return (after.get(i).atNanos() - before.get(i).atNanos()) / 1e9;
    }

    private double requests(int i) {
        return (after.get(i).requests() - before.get(i).requests()) / seconds(i);
    }

    private double cpu(int i, ToLongFunction<CpuParts> part) {
        long nanos = part.applyAsLong(after.get(i).cpu())
                - part.applyAsLong(before.get(i).cpu());
        return nanos / 1e9 / seconds(i);
    }

    private double cpu(int i) {
        return cpu(i, CpuParts::sum);
    }

    /** Processor seconds that a request costs, by the line through all; what it costs a hollow one where that can't be told. */
    double cpuPerRequest() {
        SimpleRegression line = new SimpleRegression();
        for (int i = 0; i < after.size(); i++) {
            line.addData(requests(i), cpu(i));
        }
        boolean tells = after.size() >= LEAST_FOR_A_LINE && line.getSlope() > 0;
        return tells ? line.getSlope() : hollow.servingPerRequest();
    }

    /** The requests a second of all of them. */
    double requestsPerSecond() {
        double sum = 0;
        for (int i = 0; i < after.size(); i++) {
            sum += requests(i);
        }
        return sum;
    }

    /** The figures of each, in the order of their numbers. */
    List<Map<String, Double>> each() {
        List<Map<String, Double>> all = new ArrayList<>();
        double perRequest = after.isEmpty() ? 0 : cpuPerRequest();
        for (int i = 0; i < after.size(); i++) {
            all.add(one(i, perRequest));
        }
        return all;
    }

    private Map<String, Double> one(int i, double perRequest) {
        RealSample then = before.get(i);
        RealSample now = after.get(i);
        double in = (now.messagesIn() - then.messagesIn()) / seconds(i);
        double out = (now.messagesOut() - then.messagesOut()) / seconds(i);
        double discovery = (now.discoveryIn() - then.discoveryIn()) / seconds(i);
        double serving = Math.min(cpu(i), requests(i) * perRequest);
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("bytesInPerSecond", in * hollow.meanMessageBytes() + discovery);
        figures.put("bytesOutPerSecond", out * hollow.meanRealMessageBytes(now.number()));
        figures.put("headerBytesInPerSecond", in * Figures.DATAGRAM_HEADER_BYTES + hollow.discoveryHeaderBytes());
        figures.put("headerBytesOutPerSecond", out * Figures.DATAGRAM_HEADER_BYTES + hollow.discoveryHeaderBytes());
        figures.put("messagesInPerSecond", in);
        figures.put("messagesOutPerSecond", out);
        figures.put("discoveryBytesInPerSecond", discovery);
        figures.put("cpuControlSecondsPerSecond", cpu(i) - serving);
        figures.put("cpuServingSecondsPerSecond", serving);
        figures.put("memoryBytes", (double) now.memoryBytes());
        figures.put("requestsPerSecond", requests(i));
        figures.put("cpuDecisionsSecondsPerSecond", cpu(i, CpuParts::decisions));
        figures.put("cpuNetworkSecondsPerSecond", cpu(i, CpuParts::network));
        figures.put("cpuMachineSecondsPerSecond", cpu(i, CpuParts::machine));
        if (hollow.hasBalancers()) {
            figures.put("ageP50Ms", hollow.mean(Totals::realAgeP50Millis));
            figures.put("ageP99Ms", hollow.mean(Totals::realAgeP99Millis));
        }
        return figures;
    }
}
