package baymoor.south;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * What an attempt sends to its host.
 *
 * @param id    the id that the client chose
 * @param facts names and values of the request, in the order in which the client sent them
 * @param value the value of a write, null for a read
 */
public record RequestContent(String key, String id, Map<String, String> facts, byte[] value) {

    private static final String DEADLINE_FACT = "d";

    /**
     * The facts as they are sent to routers and the origin alike: in the client's order, with the client's deadline replaced by
     * the time that this attempt is waited for, since part of the deadline has passed by now.
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
