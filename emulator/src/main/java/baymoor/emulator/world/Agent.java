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
 * The agent on a balancer's own machine where lists are pushed: it answers at once and at no cost with what it was sent,
 * and is silent while discovery is down or can't reach it. Whatever it holds counts as told to its balancer.
 */
final class Agent {

    /** Discovery as an agent sees it. */
    interface Source {
        /** Whether discovery is up and reaches this agent. */
        boolean reachable();

        long index();

        Collection<Entry> listed();

        /** How long a change takes on its way here. */
        long pushDelayMicros();

        /** A list in discovery's form, as the balancer beside reaches its hosts; what it names counts as told. */
        byte[] encode(long version, boolean snapshot, Collection<Entry> entries);

        void recordDelivered(Collection<Entry> entries);
    }

    private final Source source;
    private final Time time;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    /** What changed, by the version at which it came here. */
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

    /** Discovery has something to tell, or is back: it arrives here some time later. */
    void scheduleUpdate() {
        if (!updateScheduled) {
            updateScheduled = true;
            time.after(source.pushDelayMicros(), () -> {
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

    /** Takes over what discovery lists now, and gives what is new of it. */
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
                link.finish(true);
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
