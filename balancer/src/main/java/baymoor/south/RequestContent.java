package baymoor.south;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * The request that an attempt sends to its host.
 *
 * @param id    the request id chosen by the client
 * @param facts names and values of the request, in the order in which the client sent them
 * @param value the value of a write, null for a read
 */
public record RequestContent(String key, String id, Map<String, String> facts, byte[] value) {

    private static final String DEADLINE_FACT = "d";

    /**
     * Encodes the facts for routers and the origin: in the client's order, with the client's deadline replaced by the time left
     * for this attempt.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    String encodeFacts(long waitMillis) {
        Map<String, String> sentFacts = new LinkedHashMap<>(facts);
        sentFacts.put(DEADLINE_FACT, Long.toString(waitMillis));
        return sentFacts.entrySet().stream()
                .map(fact -> fact.getKey() + "=" + fact.getValue())
                .collect(Collectors.joining(","));
    }
}
