package baymoor.south;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/** What an attempt carries: key, id, facts in their order, and the value of a write, or null for a read. */
public record RequestContent(String key, String id, Map<String, String> facts, byte[] value) {

    private static final String DEADLINE = "d";

    /**
     * The facts as they are written to any host, router or origin: as the client sent them, in its order, but with the time that
     * this attempt is waited for in place of the client's own deadline, part of which has passed by now.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    String factsOnWire(long waitMillis) {
        Map<String, String> told = new LinkedHashMap<>(facts);
        told.put(DEADLINE, Long.toString(waitMillis));
        return told.entrySet().stream()
                .map(fact -> fact.getKey() + "=" + fact.getValue())
                .collect(Collectors.joining(","));
    }
}
