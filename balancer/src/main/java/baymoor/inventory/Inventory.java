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

        private Entry withStateIfRunning(State otherState) {
            return new Entry(id, address, kind, state == State.RUNNING ? otherState : state);
        }
    }

    private static final int MAX_NAME_LENGTH = 256;
    /** Older whole lists in a row, with nothing newer between, after which the service itself has begun anew. */
    private static final int OLDER_LISTS_BEFORE_RESET = 3;

    private final LongUnaryOperator sinceMillisToMicros;
    private final Counters counters;
    private final Map<Long, Entry> entries = new HashMap<>();
    /** What discovery said last of each host in {@link #entries}. */
    private final Map<Long, Server> servers = new HashMap<>();
    /** Hosts that other balancers' word has stopped, until a list of this version or a later one says what holds. */
    private final Set<Long> stoppedByPeers = new HashSet<>();

    private long stoppedVersion;
    private long version;
    private long malformedVersion = -1;
    private int olderListsInRow;
    private boolean needsFullList;

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
        return entry != null && stoppedByPeers.contains(id) ? entry.withStateIfRunning(State.DRAINING) : entry;
    }

    /** Tags of the hosts that run. */
    List<Integer> runningTags() {
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
     * @param listVersion the version of that list
     * @return what there is now, or null where nothing has changed
     */
    ServerList stopAllExcept(Set<Integer> tags, long listVersion) {
        if (listVersion < version) {
            return null;
        }
        boolean changed = false;
        for (Entry entry : entries.values()) {
            boolean running = entry.state() == State.RUNNING;
            if (running && !tags.contains(ListMessage.tag(entry.id())) && stoppedByPeers.add(entry.id())) {
                changed = true;
            }
        }
        if (!changed) {
            return null;
        }
        stoppedVersion = Math.max(stoppedVersion, listVersion);
        counters.add(Count.INVENTORY_STOPPED);
        return new ServerList(ListKind.LAST_KNOWN, version, listedServers());
    }

    /** All hosts that are not gone, as discovery and other balancers say. */
    private List<Server> listedServers() {
        return servers.values().stream()
                .filter(s -> s.state() != State.GONE)
                .map(this::withPeerStop)
                .toList();
    }

    private Server withPeerStop(Server s) {
        return s.state() != State.RUNNING || !stoppedByPeers.contains(s.id())
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
        stoppedByPeers.retainAll(entries.keySet());
    }

    /** Whether what came last could not be taken in full, so that the whole list is to be asked for. */
    public boolean needsFullList() {
        return needsFullList;
    }

    /** Takes the list that the configuration holds. */
    public ServerList known(JSONObject object) {
        return apply(object, ListKind.LAST_KNOWN);
    }

    /** Takes one object of a watch; null if it is older than what is held. */
    public ServerList applyWatchObject(String text) {
        JSONObject object = new JSONObject(text);
        if (isStale(object)) {
            counters.add(Count.INVENTORY_BAD);
            needsFullList = true;
            return null;
        }
        return apply(object, object.getBoolean("snapshot") ? ListKind.WHOLE : ListKind.CHANGES);
    }

    /** Takes the answer to a call; null if the watch has told of something newer meanwhile. */
    public ServerList applyFullList(String text) {
        JSONObject object = new JSONObject(text);
        needsFullList = false;
        return isStale(object) ? null : apply(object, ListKind.WHOLE);
    }

    /**
     * Whether an object is older than what is held. Danger: an old list would bring back hosts that were said to drain.
     * But a service that was set up anew counts from the start, and nobody may be left with its last list for good.
     */
    private boolean isStale(JSONObject object) {
        if (object.getLong("index") >= version) {
            olderListsInRow = 0;
            return false;
        }
        olderListsInRow += object.optBoolean("snapshot", true) ? 1 : 0;
        return olderListsInRow < OLDER_LISTS_BEFORE_RESET || !object.optBoolean("snapshot", true);
    }

    /**
     * An entry that can't be read is counted and left out: it must not cost the others. A whole list with one says
     * nothing of who is absent, unless it comes so a second time.
     */
    private ServerList apply(JSONObject object, ListKind announcedKind) {
        long index = object.getLong("index");
        JSONArray endpoints = object.getJSONArray("endpoints");
        Map<Long, Server> servers = new LinkedHashMap<>();
        Map<Long, Entry> changed = new HashMap<>();
        boolean malformed = false;
        for (int i = 0; i < endpoints.length(); i++) {
            try {
                JSONObject endpoint = endpoints.getJSONObject(i);
                Server server = parseServer(endpoint);
                Entry entry = new Entry(
                        server.id(), parseAddress(endpoint.getString("address")), server.kind(), server.state());
                Server duplicate = servers.get(server.id());
                if (duplicate != null) {
                    counters.add(Count.INVENTORY_BAD);
                    malformed = true;
                }
                // Of a host named twice the more careful word holds: nothing new goes to one that may drain.
                if (duplicate == null || server.state().compareTo(duplicate.state()) > 0) {
                    servers.put(server.id(), server);
                    changed.put(server.id(), entry);
                }
            } catch (JSONException e) {
                counters.add(Count.INVENTORY_BAD);
                malformed = true;
            }
        }
        needsFullList = malformed && index != malformedVersion && announcedKind != ListKind.LAST_KNOWN;
        malformedVersion = needsFullList ? index : malformedVersion;
        ListKind kind = needsFullList ? ListKind.CHANGES : announcedKind;
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
        return toEvent(kind, servers);
    }

    /** What is told of a list that was taken: where it lifts other balancers' word, all that holds now. */
    private ServerList toEvent(ListKind kind, Map<Long, Server> received) {
        boolean liftsStops = !stoppedByPeers.isEmpty() && version >= stoppedVersion;
        if (liftsStops) {
            stoppedByPeers.clear();
            return new ServerList(kind == ListKind.LAST_KNOWN ? kind : ListKind.WHOLE, version, listedServers());
        }
        List<Server> servers =
                received.values().stream().map(this::withPeerStop).toList();
        return new ServerList(kind, version, servers);
    }

    private Server parseServer(JSONObject endpoint) {
        State state = switch (endpoint.getString("status")) {
            case "in_service" -> State.RUNNING;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw new JSONException("unknown status");
        };
        long sinceMillis = endpoint.optLong("since_ms", 0);
        return new Server(
                idOf(endpoint.getString("name")),
                endpoint.optDouble("weight", 1),
                endpoint.optString("type", ""),
                state,
                endpoint.optString("zone", ""),
                sinceMillis <= 0 ? 0 : Math.max(0, sinceMillisToMicros.applyAsLong(sinceMillis)),
                endpoint.optInt("group", 0));
    }

    private long idOf(String name) {
        if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
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

    private static InetSocketAddress parseAddress(String text) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new JSONException("address is not in figures with a port");
        }
        return address;
    }
}
