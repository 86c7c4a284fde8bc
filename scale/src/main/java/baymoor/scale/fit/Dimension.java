package baymoor.scale.fit;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.ToDoubleFunction;

/** A measure of a run's size that figures may depend on. */
public enum Dimension {
    BALANCERS("balancers", size -> size.path("balancers").asDouble()),
    BALANCERS_SQUARED("balancers^2", size -> Math.pow(size.path("balancers").asDouble(), 2)),
    ROUTERS("routers", size -> size.path("routers").asDouble()),
    SITES("sites", size -> size.path("sites").asDouble()),
    KEYS("keys", size -> size.path("keys").asDouble()),
    REQUESTS_PER_BALANCER(
            "requests/s per balancer",
            size -> size.path("requestsPerSecond").asDouble()
                    / size.path("balancers").asDouble()),
    CHANGES("changes/s", size -> size.path("changesPerSecond").asDouble());

    private final String label;
    private final ToDoubleFunction<JsonNode> value;

    Dimension(String label, ToDoubleFunction<JsonNode> value) {
        this.label = label;
        this.value = value;
    }

    /** How tables name it. */
    public String label() {
        return label;
    }

    double of(JsonNode size) {
        return value.applyAsDouble(size);
    }
}
