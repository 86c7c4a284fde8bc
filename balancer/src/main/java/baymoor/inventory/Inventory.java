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
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
    public record Entry(long id, InetSocketAddress address, String kind, State state) {

        private Entry in(State other) {
            return new Entry(id, address, kind, state == State.RUNNING ? other : state);
        }
    }

    private static final int LONGEST_NAME = 256;
    /** Older whole lists in a row, with nothing newer between, after which the service itself has begun anew. */
    private static final int OLDER_BELIEVED = 3;

    private final LongUnaryOperator sinceMillisToMicros;
    private final Counters counters;
    private final Map<Long, Entry> entries = new HashMap<>();
    /** What discovery said last of each host in {@link #entries}. */
    private final Map<Long, Server> servers = new HashMap<>();
    /** Hosts that other balancers' word has stopped, until a list of this version or a later one says what holds. */
    private final Set<Long> stopped = new HashSet<>();

    private long stoppedVersion;
    private long version;
    private long spoiltVersion = -1;
    private int older;
    private boolean wantsWhole;

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
        Entry entry = entries.get(id);
        return entry != null && stopped.contains(id) ? entry.in(State.DRAINING) : entry;
    }

    /** Tags of the hosts that run. */
    List<Integer> running() {
        List<Integer> tags = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry(entry.id()).state() == State.RUNNING) {
                tags.add(ListMessage.tag(entry.id()));
            }
        }
        return tags;
    }

    /**
     * Takes another balancer's word of which hosts run by its list. It stops the others here and brings back nobody: only
     * discovery's own word does, by a list that is not older.
     *
     * @param tags    {@link ListMessage#tag} of each
     * @param asOf the version of that list
     * @return what there is now, or null where nothing has changed
     */
    ServerList stopAllBut(Set<Integer> tags, long asOf) {
        if (asOf < version) {
            return null;
        }
        boolean changed = false;
        for (Entry entry : entries.values()) {
            boolean runs = entry.state() == State.RUNNING;
            if (runs && !tags.contains(ListMessage.tag(entry.id())) && stopped.add(entry.id())) {
                changed = true;
            }
        }
        if (!changed) {
            return null;
        }
        stoppedVersion = Math.max(stoppedVersion, asOf);
        counters.add(Count.INVENTORY_STOPPED);
        return new ServerList(ListKind.LAST_KNOWN, version, listed());
    }

    /** All hosts that are not gone, as discovery and other balancers say. */
    private List<Server> listed() {
        return servers.values().stream()
                .filter(s -> s.state() != State.GONE)
                .map(this::stoppedOrNot)
                .toList();
    }

    private Server stoppedOrNot(Server s) {
        return s.state() != State.RUNNING || !stopped.contains(s.id())
                ? s
                : new Server(s.id(), s.size(), s.kind(), State.DRAINING, s.zone(), s.startedMicros(), s.cell());
    }

    /**
     * Drops the hosts that are gone and of no more use. Seen: routers replaced all day by new ones under new names, each
     * of which would stay here for good.
     */
    public void forget(LongPredicate inUse) {
        entries.values().removeIf(e -> e.state() == State.GONE && !inUse.test(e.id()));
        servers.keySet().retainAll(entries.keySet());
        stopped.retainAll(entries.keySet());
    }

    /** Whether what came last could not be taken in full, so that the whole list is to be asked for. */
    public boolean wantsWhole() {
        return wantsWhole;
    }

    /** Takes the list that the configuration holds. */
    public ServerList known(JSONObject object) {
        return take(object, ListKind.LAST_KNOWN);
    }

    /** Takes one object of a watch; null if it is older than what is held. */
    public ServerList told(String text) {
        JSONObject object = new JSONObject(text);
        if (stale(object)) {
            counters.add(Count.INVENTORY_BAD);
            wantsWhole = true;
            return null;
        }
        return take(object, object.getBoolean("snapshot") ? ListKind.WHOLE : ListKind.CHANGES);
    }

    /** Takes the answer to a call; null if the watch has told of something newer meanwhile. */
    public ServerList answered(String text) {
        JSONObject object = new JSONObject(text);
        wantsWhole = false;
        return stale(object) ? null : take(object, ListKind.WHOLE);
    }

    /**
     * Whether an object is older than what is held. Danger: an old list would bring back hosts that were said to drain.
     * But a service that was set up anew counts from the start, and nobody may be left with its last list for good.
     */
    private boolean stale(JSONObject object) {
        if (object.getLong("index") >= version) {
            older = 0;
            return false;
        }
        older += object.optBoolean("snapshot", true) ? 1 : 0;
        return older < OLDER_BELIEVED || !object.optBoolean("snapshot", true);
    }

    /**
     * An entry that can't be read is counted and left out: it must not cost the others. A whole list with one says
     * nothing of who is absent, unless it comes so a second time.
     */
    private ServerList take(JSONObject object, ListKind said) {
        long index = object.getLong("index");
        JSONArray endpoints = object.getJSONArray("endpoints");
        Map<Long, Server> servers = new LinkedHashMap<>();
        Map<Long, Entry> changed = new HashMap<>();
        boolean spoilt = false;
        for (int i = 0; i < endpoints.length(); i++) {
            try {
                JSONObject e = endpoints.getJSONObject(i);
                Server server = server(e);
                Entry entry = new Entry(server.id(), address(e.getString("address")), server.kind(), server.state());
                Server twin = servers.get(server.id());
                if (twin != null) {
                    counters.add(Count.INVENTORY_BAD);
                    spoilt = true;
                }
                // Of a host named twice the more careful word holds: nothing new goes to one that may drain.
                if (twin == null || server.state().compareTo(twin.state()) > 0) {
                    servers.put(server.id(), server);
                    changed.put(server.id(), entry);
                }
            } catch (JSONException e) {
                counters.add(Count.INVENTORY_BAD);
                spoilt = true;
            }
        }
        wantsWhole = spoilt && index != spoiltVersion && said != ListKind.LAST_KNOWN;
        spoiltVersion = wantsWhole ? index : spoiltVersion;
        ListKind kind = wantsWhole ? ListKind.CHANGES : said;
        if (index < version) {
            stoppedVersion = index; // the service counts anew, and versions from before say nothing any more
        }
        version = index;
        if (kind != ListKind.CHANGES) {
            // Who is absent from a whole list is gone; its entry stays, since relays may still be queued for it.
            entries.replaceAll((id, e) -> new Entry(id, e.address(), e.kind(), State.GONE));
            this.servers.clear();
        }
        entries.putAll(changed);
        this.servers.putAll(servers);
        return told(kind, servers);
    }

    /** What is told of a list that was taken: where it lifts other balancers' word, all that holds now. */
    private ServerList told(ListKind kind, Map<Long, Server> came) {
        boolean lifts = !stopped.isEmpty() && version >= stoppedVersion;
        if (lifts) {
            stopped.clear();
            return new ServerList(kind == ListKind.LAST_KNOWN ? kind : ListKind.WHOLE, version, listed());
        }
        List<Server> servers = came.values().stream().map(this::stoppedOrNot).toList();
        return new ServerList(kind, version, servers);
    }

    private Server server(JSONObject e) {
        State state = switch (e.getString("status")) {
            case "in_service" -> State.RUNNING;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new JSONException("unknown status");
        };
        long since = e.optLong("since_ms", 0);
        return new Server(
                id(e.getString("name")),
                e.optDouble("weight", 1),
                e.optString("type", ""),
                state,
                e.optString("zone", ""),
                since <= 0 ? 0 : Math.max(0, sinceMillisToMicros.applyAsLong(since)),
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
