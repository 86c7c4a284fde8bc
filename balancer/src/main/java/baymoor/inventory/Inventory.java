package baymoor.inventory;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.Address;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.function.LongUnaryOperator;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.State;
import org.json.JSONArray;
import org.json.JSONException;
import org.json.JSONObject;

/**
 * Discovery's list as this balancer holds it: turns its objects into {@link ServerList} events, names into ids that
 * are the same at every balancer, and keeps the address and state of each host.
 */
public final class Inventory {

    /** A listed host, as south needs it. */
    public record Entry(long id, InetSocketAddress address, String kind, State state) { }

    private static final int LONGEST_NAME = 256;

    private final LongUnaryOperator sinceMillisToMicros;
    private final Counters counters;
    private final Map<Long, Entry> entries = new HashMap<>();
    private long version;

    /** @param sinceMillisToMicros maps discovery's Unix milliseconds onto the balancer's clock */
    public Inventory(LongUnaryOperator sinceMillisToMicros, Counters counters) {
        this.sinceMillisToMicros = sinceMillisToMicros;
        this.counters = counters;
    }

    public long version() {
        return version;
    }

    /** A host once listed, in its last state, or null. */
    public Entry entry(long id) {
        return entries.get(id);
    }

    /**
     * Drops the hosts that are gone and of no more use. Seen: routers replaced all day by new ones under new names, each
     * of which would stay here for good.
     */
    public void forget(LongPredicate inUse) {
        entries.values().removeIf(e -> e.state() == State.GONE && !inUse.test(e.id()));
    }

    /** Takes the list that the configuration holds. */
    public ServerList known(JSONObject object) {
        return take(object, ListKind.LAST_KNOWN);
    }

    /** Takes one object of a watch. */
    public ServerList told(String text) {
        JSONObject object = new JSONObject(text);
        return take(object, object.getBoolean("snapshot") ? ListKind.WHOLE : ListKind.CHANGES);
    }

    /** Takes the answer to a call; null if the watch has told of something newer meanwhile. */
    public ServerList answered(String text) {
        JSONObject object = new JSONObject(text);
        return object.getLong("index") < version ? null : take(object, ListKind.WHOLE);
    }

    /** An entry that can't be read is counted and left out: it must not cost the others. */
    private ServerList take(JSONObject object, ListKind kind) {
        long index = object.getLong("index");
        JSONArray endpoints = object.getJSONArray("endpoints");
        List<Server> servers = new ArrayList<>(endpoints.length());
        List<Entry> changed = new ArrayList<>(endpoints.length());
        for (int i = 0; i < endpoints.length(); i++) {
            try {
                JSONObject e = endpoints.getJSONObject(i);
                Server server = server(e);
                changed.add(new Entry(server.id(), address(e.getString("address")), server.kind(), server.state()));
                servers.add(server);
            } catch (JSONException e) {
                counters.add(Count.INVENTORY_BAD);
            }
        }
        version = index;
        if (kind != ListKind.CHANGES) {
            // Who is absent from a whole list is gone; its entry stays, since relays may still be queued for it.
            entries.replaceAll((id, e) -> new Entry(id, e.address(), e.kind(), State.GONE));
        }
        changed.forEach(e -> entries.put(e.id(), e));
        return new ServerList(kind, index, servers);
    }

    private Server server(JSONObject e) {
        State state = switch (e.getString("status")) {
            case "in_service" -> State.RUNNING;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new JSONException("unknown status");
        };
        long since = e.optLong("since_ms", 0);
        return new Server(id(e.getString("name")), e.optDouble("weight", 1), e.optString("type", ""), state,
                e.optString("zone", ""), since <= 0 ? 0 : Math.max(0, sinceMillisToMicros.applyAsLong(since)),
                e.optInt("group", 0));
    }

    private long id(String name) {
        if (name.isEmpty() || name.length() > LONGEST_NAME) {
            throw new JSONException("name is empty or too long");
        }
        return hash(name);
    }

    /** 63 bits of a digest: every balancer gets the same id for a name, and two names never share one. */
    static long hash(String name) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong() & Long.MAX_VALUE;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    private static InetSocketAddress address(String text) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new JSONException("address is not in figures with a port");
        }
        return address;
    }
}
