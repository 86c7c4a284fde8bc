package baymoor.south;

import java.util.Arrays;
import java.util.stream.Collectors;

/**
 * The request that an attempt sends to its host.
 *
 * @param id    the request id chosen by the client
 * @param facts names and values of the request, as the client sent them
 * @param value the value of a write, null for a read
 */
public record RequestContent(String key, String id, String facts, byte[] value) {

    private static final String DEADLINE_NAME = "d=";

    /**
     * Encodes the facts for routers and the origin: as the client sent them, with the client's deadline replaced by the time left
     * for this attempt.
     *
     * @param waitMillis how long the balancer will wait for the answer, in milliseconds
     */
    String encodeFacts(long waitMillis) {
        return Arrays.stream(facts.split(","))
                .map(fact -> fact.startsWith(DEADLINE_NAME) ? DEADLINE_NAME + waitMillis : fact)
                .collect(Collectors.joining(","));
    }
}
