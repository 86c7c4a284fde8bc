package baymoor.emulator.world;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.function.IntFunction;
import java.util.function.LongUnaryOperator;

/** Entries of the discovery service and their JSON encoding. Stateless. */
public final class Listing {

    static final ObjectMapper JSON = new ObjectMapper();

    /** The lifecycle status of a listed process, written in lower case. */
    public enum Status {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * A listed process.
     *
     * @param host            number of the place at which it listens, from which its address is resolved
     * @param startedAtMicros time of its last start, 0 if it was running before the run began
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
     * Encodes a list or a batch of changes.
     *
     * @param index      version of the list
     * @param snapshot   whether the entries are the whole list
     * @param address    resolves the address of a host by its number, as one balancer reaches it
     * @param unixMillis converts microseconds of the platform's clock to Unix time in milliseconds
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
