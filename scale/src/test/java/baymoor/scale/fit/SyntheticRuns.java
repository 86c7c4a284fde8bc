package baymoor.scale.fit;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

/** Results as scale runs write them, with figures that the test sets. */
final class SyntheticRuns {

    static final ObjectMapper JSON = new ObjectMapper();

    private SyntheticRuns() {}

    /** A valid result as JSON, without figures of its own but one. */
    static ObjectNode json(int balancers, int routers, String figure, double value) {
        ObjectNode root = JSON.createObjectNode();
        root.put("file", "synthetic.toml").put("seed", 1).put("valid", true).putArray("reasons");
        root.putObject("size")
                .put("balancers", balancers)
                .put("hollow", balancers)
                .put("real", 0)
                .put("routers", routers)
                .put("sites", 4)
                .put("zones", 2)
                .put("regions", 1)
                .put("requestsPerSecond", 2_000)
                .put("keys", 1_000)
                .put("changesPerSecond", 0)
                .put("seconds", 30);
        root.putObject("hollow").put(figure, value);
        root.putArray("real");
        root.putArray("changes");
        return root;
    }

    static Result result(int balancers, int routers, String figure, double value) {
        Map<Dimension, Double> size = new EnumMap<>(Dimension.class);
        for (Dimension dimension : Dimension.values()) {
            size.put(
                    dimension,
                    dimension.of(json(balancers, routers, figure, value).path("size")));
        }
        return new Result("run-" + balancers + ".json", 1, size, new TreeMap<>(Map.of(figure, value)));
    }
}
