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
 * Holds the server list as last received from discovery. Parses its JSON objects into {@link ServerList} events, derives from
 * each host's name an id that is the same at every balancer, and keeps the address and state of each host.
 *
 * <p>Not thread-safe; used on the decision thread.
 */
public final class Inventory {

    /** Address, kind and state of a listed host, for {@code south}. */
    public record Entry(long id, InetSocketAddress address, String kind, State state) {

        private Entry withStateIfRunning(State otherState) {
            return new Entry(id, address, kind, state == State.RUNNING ? otherState : state);
        }
    }

    private static final int MAX_NAME_LENGTH = 256;
    /** Consecutive whole lists with an older version after which discovery is taken to have reset its versions. */
    private static final int OLDER_LISTS_BEFORE_RESET = 3;

    private final LongUnaryOperator sinceMillisToMicros;
    private final Counters counters;
    private final Map<Long, Entry> entries = new HashMap<>();
    /** Each host's data as last received from discovery; its keys are among those of {@link #entries}. */
    private final Map<Long, Server> servers = new HashMap<>();
    /** Hosts that peers report as not running; cleared by a list of {@link #stoppedVersion} or later. */
    private final Set<Long> stoppedByPeers = new HashSet<>();

    private long stoppedVersion;
    private long version;
    private long malformedVersion = -1;
    private int olderListsInRow;
    private boolean needsFullList;

    /**
     * Creates an empty inventory.
     *
     * @param sinceMillisToMicros maps discovery's Unix milliseconds to microseconds of the balancer's clock
     */
    public Inventory(LongUnaryOperator sinceMillisToMicros, Counters counters) {
        this.sinceMillisToMicros = sinceMillisToMicros;
        this.counters = counters;
    }

    /** Returns the version of the list held, 0 before the first one. */
    public long version() {
        return version;
    }

    /** Returns a host in its last known state, draining if a peer has stopped it; null if it is unknown. */
    public Entry entry(long id) {
        Entry entry = entries.get(id);
        return entry != null && stoppedByPeers.contains(id) ? entry.withStateIfRunning(State.DRAINING) : entry;
    }

    /** Returns the tags of the running hosts. */
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
     * Stops all hosts that do not run according to a peer's list. Hosts are never started this way: a stop is undone only by
     * a list from discovery that is not older than the peer's.
     *
     * @param tags        {@link ListMessage#tag} of each host that runs according to the peer
     * @param listVersion the version of the peer's list
     * @return the resulting list, or null if nothing has changed
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
        counters.increment(Count.INVENTORY_STOPPED);
        return new ServerList(ListKind.LAST_KNOWN, version, listedServers());
    }

    /** Returns all hosts that are not gone, with the peers' stops applied. */
    private List<Server> listedServers() {
        return servers.values().stream()
                .filter(server -> server.state() != State.GONE)
                .map(this::withPeerStop)
                .toList();
    }

    private Server withPeerStop(Server server) {
        return server.state() != State.RUNNING || !stoppedByPeers.contains(server.id())
                ? server
                : new Server(
                        server.id(),
                        server.size(),
                        server.kind(),
                        State.DRAINING,
                        server.zone(),
                        server.startedMicros(),
                        server.cell());
    }

    /**
     * Removes hosts that are gone and no longer in use. Without this, hosts that are replaced under new names would
     * accumulate.
     *
     * @param inUse whether a host's id is still referenced, for instance by queued attempts
     */
    public void removeGoneHosts(LongPredicate inUse) {
        entries.values().removeIf(entry -> entry.state() == State.GONE && !inUse.test(entry.id()));
        servers.keySet().retainAll(entries.keySet());
        stoppedByPeers.retainAll(entries.keySet());
    }

    /** Returns whether the last object was stale or partly malformed, so that the whole list has to be fetched. */
    public boolean needsFullList() {
        return needsFullList;
    }

    /**
     * Applies the list from the configuration.
     *
     * @throws JSONException if it has no index or no endpoints
     */
    public ServerList applyConfiguredList(JSONObject object) {
        return apply(object, ListKind.LAST_KNOWN);
    }

    /**
     * Applies one object of a watch.
     *
     * @return the event for the decision module, or null if the object is older than the list held
     * @throws JSONException if the object is malformed
     */
    public ServerList applyWatchObject(String text) {
        JSONObject object = new JSONObject(text);
        if (isStale(object)) {
            counters.increment(Count.INVENTORY_BAD);
            needsFullList = true;
            return null;
        }
        return apply(object, object.getBoolean("snapshot") ? ListKind.WHOLE : ListKind.CHANGES);
    }

    /**
     * Applies the response to a call for the whole list.
     *
     * @return the event for the decision module, or null if the watch has delivered a newer list in the meantime
     * @throws JSONException if the response is malformed
     */
    public ServerList applyFullList(String text) {
        JSONObject object = new JSONObject(text);
        needsFullList = false;
        return isStale(object) ? null : apply(object, ListKind.WHOLE);
    }

    /**
     * Returns whether an object is older than the list held: it would put draining hosts back into service. After
     * {@link #OLDER_LISTS_BEFORE_RESET} such lists in a row, discovery has restarted its versions, and the list is accepted.
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
     * Applies a list. Malformed entries are counted and skipped. A whole list that has any is applied as a set of changes, as
     * a host may be missing only because its entry is malformed, unless the same version is received a second time.
     */
    private ServerList apply(JSONObject object, ListKind announcedKind) {
        long index = object.getLong("index");
        JSONArray endpoints = object.getJSONArray("endpoints");
        Map<Long, Server> receivedServers = new LinkedHashMap<>();
        Map<Long, Entry> receivedEntries = new HashMap<>();
        boolean malformed = false;
        for (int i = 0; i < endpoints.length(); i++) {
            try {
                JSONObject endpoint = endpoints.getJSONObject(i);
                Server server = parseServer(endpoint);
                Entry entry = new Entry(
                        server.id(), parseAddress(endpoint.getString("address")), server.kind(), server.state());
                Server duplicate = receivedServers.get(server.id());
                if (duplicate != null) {
                    counters.increment(Count.INVENTORY_BAD);
                    malformed = true;
                }
                // Of two entries for a host the one closer to removal applies: a draining host gets no new attempts.
                if (duplicate == null || server.state().compareTo(duplicate.state()) > 0) {
                    receivedServers.put(server.id(), server);
                    receivedEntries.put(server.id(), entry);
                }
            } catch (JSONException e) {
                counters.increment(Count.INVENTORY_BAD);
                malformed = true;
            }
        }
        needsFullList = malformed && index != malformedVersion && announcedKind != ListKind.LAST_KNOWN;
        malformedVersion = needsFullList ? index : malformedVersion;
        ListKind kind = needsFullList ? ListKind.CHANGES : announcedKind;
        if (index < version) {
            stoppedVersion = index; // discovery has reset its versions; earlier ones no longer compare
        }
        version = index;
        if (kind != ListKind.CHANGES) {
            // A host absent from a whole list is gone; its entry stays, since attempts may still be queued for it.
            entries.replaceAll((id, entry) -> new Entry(id, entry.address(), entry.kind(), State.GONE));
            this.servers.clear();
        }
        entries.putAll(receivedEntries);
        this.servers.putAll(receivedServers);
        return toEvent(kind, receivedServers);
    }

    /** Returns the event for an applied list: the received servers, or all of them if the list lifts the peers' stops. */
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
            throw new JSONException("name is empty or longer than " + MAX_NAME_LENGTH + " characters");
        }
        return hash(name);
    }

    /** Returns 63 bits of the name's SHA-256 digest, the same at every balancer; collisions are negligible. */
    static long hash(String name) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong() & Long.MAX_VALUE;
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static InetSocketAddress parseAddress(String text) {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw new JSONException("address is not a numeric IP address with a port");
        }
        return address;
    }
}
