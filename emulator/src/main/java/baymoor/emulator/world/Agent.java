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
        boolean up();

        long index();

        Collection<Entry> listed();

        /** How long a change takes on its way here. */
        long delayMicros();

        /** A list in discovery's form, as the balancer beside reaches its hosts; what it names counts as told. */
        byte[] line(long at, boolean snapshot, Collection<Entry> entries);

        void told(Collection<Entry> entries);
    }

    private final Source source;
    private final Time time;
    private final Map<String, Entry> held = new LinkedHashMap<>();
    /** What changed, by the version at which it came here. */
    private final TreeMap<Long, List<Entry>> changes = new TreeMap<>();

    private final Set<Connection> watches = new LinkedHashSet<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long index;
    private boolean set;

    Agent(Source source, Time time) {
        this.source = source;
        this.time = time;
        take();
    }

    long index() {
        return index;
    }

    Collection<Entry> held() {
        return List.copyOf(held.values());
    }

    /** Discovery has something to tell, or is back: it arrives here some time later. */
    void due() {
        if (!set) {
            set = true;
            time.after(source.delayMicros(), () -> {
                set = false;
                if (source.up()) {
                    boolean news = source.index() > index;
                    List<Entry> changed = take();
                    if (news) {
                        watches.forEach(w -> w.stream.write(source.line(index, false, changed)));
                    }
                    List.copyOf(waiting).forEach(Runnable::run);
                    waiting.clear();
                }
            });
        }
    }

    /** Takes over what discovery lists now, and gives what is new of it. */
    private List<Entry> take() {
        List<Entry> changed = new ArrayList<>();
        Map<String, Entry> now = new LinkedHashMap<>();
        source.listed().forEach(e -> now.put(e.name(), e));
        held.values().stream()
                .filter(e -> !now.containsKey(e.name()))
                .forEach(e -> changed.add(e.withStatus(Listing.Status.TERMINATED)));
        now.values().stream().filter(e -> !e.equals(held.get(e.name()))).forEach(changed::add);
        held.clear();
        held.putAll(now);
        index = source.index();
        if (!changed.isEmpty()) {
            changes.put(index, changed);
        }
        source.told(changed);
        return changed;
    }

    LinkEvents accept(Link link) {
        return new Connection(link);
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final HttpRequests reader = new HttpRequests();
        private ListStream stream;
        private boolean over;

        Connection(Link link) {
            this.link = link;
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null && !over; r = reader.next()) {
                    String target = r.target();
                    if (source.up()) {
                        answer(target);
                    } else {
                        waiting.add(() -> answer(target));
                    }
                }
            } catch (HttpException e) {
                over = true;
                link.finish(true);
            }
        }

        private void answer(String target) {
            if (over) {
                return;
            }
            if (!target.contains("watch=1")) {
                link.write(HttpRequests.response(
                        200, "OK", "Content-Type: application/json\r\n", source.line(index, true, held())));
                return;
            }
            long from = ListStream.from(target);
            boolean known = from >= 1 && from <= index && (changes.isEmpty() || from >= changes.firstKey());
            List<Entry> since = changes.tailMap(from, false).values().stream()
                    .flatMap(List::stream)
                    .toList();
            stream = new ListStream(link, time, () -> !over, source::up);
            watches.add(this);
            stream.open(source.line(index, !known, known ? since : held()));
        }

        @Override
        public void closed() {
            over = true;
            watches.remove(this);
        }
    }
}
