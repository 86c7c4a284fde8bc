package baymoor.scale.run;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import java.util.Map;

/** What came of a scale run, in the form that is written as JSON and read by the fit. */
public record ScaleResult(
        String file,
        long seed,
        boolean valid,
        List<String> reasons,
        Machine machine,
        Size size,
        Map<String, Double> hollow,
        List<Map<String, Double>> real,
        List<Map<String, Double>> changes,
        List<Recoveries.Recovery> recoveries,
        Map<String, Double> notes) {

    /** The machine: its cores, how late a thread ran there, and datagrams that the kernel dropped. */
    public record Machine(int cores, double latenessP99Ms, long udpDrops) {}

    /** How large the run was. */
    public record Size(
            int balancers,
            int hollow,
            int real,
            int routers,
            int sites,
            int zones,
            int regions,
            @JsonProperty("requestsPerSecond") double requestsPerSecond,
            int keys,
            double changesPerSecond,
            double seconds) {}
}
