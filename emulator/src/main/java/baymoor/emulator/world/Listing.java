package baymoor.emulator.world;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.IntFunction;
import java.util.function.LongUnaryOperator;

/** Discovery's list in its own form. */
public final class Listing {

    static final ObjectMapper JSON = new ObjectMapper();

    /** What a listed process does. */
    public enum Status {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * A listed process; {@code host} is its number in the world, by which its address is found.
     * {@code startedAtMicros}: when it last started, 0 for long ago.
     */
    public record Entry(
            String name,
            int host,
            String zone,
            String type,
            int group,
            Status status,
            double weight,
            long startedAtMicros) {

        Entry withStatus(Status newStatus) {
            return new Entry(name, host, zone, type, group, newStatus, weight, startedAtMicros);
        }
    }

    private Listing() {}

    /**
     * @param address    of a host by its number, as one balancer reaches it
     * @param unixMillis of a moment of the world's clock
     */
    public static ObjectNode object(
            long index,
            boolean snapshot,
            Collection<Entry> entries,
            IntFunction<InetSocketAddress> address,
            LongUnaryOperator unixMillis) {
        ObjectNode object = JSON.createObjectNode().put("index", index).put("snapshot", snapshot);
        ArrayNode endpoints = object.putArray("endpoints");
        for (Entry e : entries) {
            InetSocketAddress socketAddress = address.apply(e.host);
            endpoints
                    .addObject()
                    .put("name", e.name)
                    .put("address", socketAddress.getAddress().getHostAddress() + ":" + socketAddress.getPort())
                    .put("zone", e.zone)
                    .put("type", e.type)
                    .put("group", e.group)
                    .put("status", e.status.name().toLowerCase(java.util.Locale.ROOT))
                    .put("weight", e.weight)
                    .put("since_ms", e.startedAtMicros == 0 ? 0 : unixMillis.applyAsLong(e.startedAtMicros));
        }
        return object;
    }
}
