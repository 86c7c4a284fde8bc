package baymoor.emulator.world;

import baymoor.emulator.world.Listing.Entry;
import baymoor.http.HttpException;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Simulates the discovery agent on a balancer's machine, for scenarios in which discovery pushes its list. It answers
 * from its local copy without delay, and holds back all answers and heartbeats while discovery is down or unreachable.
 * Each change that it receives counts as delivered to its balancer.
 *
 * <p>Not thread-safe: all calls come from the platform's event thread.
 */
final class Agent {

    /** The discovery service from which an agent takes its list. */
    interface Source {
        /** Returns whether discovery is up and can reach this agent. */
        boolean reachable();

        /** Returns the current version of the list. */
        long index();

        /** Returns the current entries. */
        Collection<Entry> listed();

        /** Returns a random delay, in microseconds, after which a change arrives at the agent. */
        long pushDelayMicros();

        /** Encodes entries with the addresses that this agent's balancer uses, and records them as delivered to it. */
        byte[] encode(long version, boolean snapshot, Collection<Entry> entries);

        /** Records that entries count as delivered to this agent's balancer. */
        void recordDelivered(Collection<Entry> entries);
    }

    private final Source source;
    private final Time time;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** The changes that arrived with each version of the list. */
    private final TreeMap<Long, List<Entry>> changesByVersion = new TreeMap<>();

    private final Set<Connection> watches = new LinkedHashSet<>();
    private final List<Runnable> pendingAnswers = new ArrayList<>();
    private long index;
    private boolean updateScheduled;

    Agent(Source source, Time time) {
        this.source = source;
        this.time = time;
        refresh();
    }

    long index() {
        return index;
    }

    Collection<Entry> entries() {
        return List.copyOf(entries.values());
    }

    /** Schedules an update from discovery after the push delay, unless one is scheduled already. */
    void scheduleUpdate() {
        if (!updateScheduled) {
            updateScheduled = true;
            time.schedule(source.pushDelayMicros(), () -> {
                updateScheduled = false;
                if (source.reachable()) {
                    boolean newVersion = source.index() > index;
                    List<Entry> changedEntries = refresh();
                    if (newVersion) {
                        watches.forEach(w -> w.stream.write(source.encode(index, false, changedEntries)));
                    }
                    List.copyOf(pendingAnswers).forEach(Runnable::run);
                    pendingAnswers.clear();
                }
            });
        }
    }

    /** Replaces the local copy by discovery's current list; returns the changed entries, removed ones as terminated. */
    private List<Entry> refresh() {
        List<Entry> changedEntries = new ArrayList<>();
        Map<String, Entry> listed = new LinkedHashMap<>();
        source.listed().forEach(e -> listed.put(e.name(), e));
        entries.values().stream()
                .filter(e -> !listed.containsKey(e.name()))
                .forEach(e -> changedEntries.add(e.withStatus(Listing.Status.TERMINATED)));
        listed.values().stream().filter(e -> !e.equals(entries.get(e.name()))).forEach(changedEntries::add);
        entries.clear();
        entries.putAll(listed);
        index = source.index();
        if (!changedEntries.isEmpty()) {
            changesByVersion.put(index, changedEntries);
        }
        source.recordDelivered(changedEntries);
        return changedEntries;
    }

    LinkEvents accept(Link link) {
        return new Connection(link);
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final HttpRequests reader = new HttpRequests();
        private ListStream stream;
        private boolean closed;

        Connection(Link link) {
            this.link = link;
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null && !closed; r = reader.next()) {
                    String target = r.target();
                    if (source.reachable()) {
                        answer(target);
                    } else {
                        pendingAnswers.add(() -> answer(target));
                    }
                }
            } catch (HttpException e) {
                closed = true;
                link.shutdownOutput(true);
            }
        }

        private void answer(String target) {
            if (closed) {
                return;
            }
            if (!target.contains("watch=1")) {
                link.write(HttpRequests.response(
                        200, "OK", "Content-Type: application/json\r\n", source.encode(index, true, entries())));
                return;
            }
            long fromVersion = ListStream.fromVersion(target);
            boolean resumable = fromVersion >= 1
                    && fromVersion <= index
                    && (changesByVersion.isEmpty() || fromVersion >= changesByVersion.firstKey());
            List<Entry> changesSince = changesByVersion.tailMap(fromVersion, false).values().stream()
                    .flatMap(List::stream)
                    .toList();
            stream = new ListStream(link, time, () -> !closed, source::reachable);
            watches.add(this);
            stream.open(source.encode(index, !resumable, resumable ? changesSince : entries()));
        }

        @Override
        public void closed() {
            closed = true;
            watches.remove(this);
        }
    }
}
