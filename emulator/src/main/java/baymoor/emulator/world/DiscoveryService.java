package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Listing.Entry;
import baymoor.emulator.world.Listing.Status;
import baymoor.http.HttpException;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.IntToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery: a list that is seconds late, asked for in whole or watched. Calls are worked off one after another and
 * fail when they have waited too long; when it is down, watches end and nothing answers.
 */
public final class DiscoveryService {

    private static final int MOST_HISTORY = 1000;
    /**
     * A change counts as told so long after discovery had it and could be reached, whether it arrived or not; so does what a
     * watch that has fallen silent misses, from when it fell silent.
     */
    private static final long TOLD_MICROS = 6_000_000;

    private static final byte[] NONE = new byte[0];

    /** The address of a host as one balancer reaches it, and the Unix time of a moment of the world's clock. */
    public interface Reach {
        InetSocketAddress address(int host, int balancer);

        long unixMillis(long micros);
    }

    /** Hears how each call ended. */
    @FunctionalInterface
    interface Calls {
        void ended(int balancer, String how);
    }

    static final String WATCHED = "list-watched";
    static final String ANSWERED = "list-answered";
    static final String TURNED_DOWN = "list-turned-down";

    private final Scenario.Discovery spec;
    private final Time time;
    private final UniformRandomProvider chance;
    private final Judge judge;
    private final Reach reach;
    private final IntToLongFunction cutSince;
    private final Calls calls;
    /** What is listed, and the last change of each name by its version, those that ended among them. */
    private final Map<String, Entry> listed = new LinkedHashMap<>();

    private final TreeMap<Long, Entry> history = new TreeMap<>();
    private final Map<String, Long> changedLast = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Where lists are pushed: the agent beside each balancer. */
    private final Map<Integer, Agent> agents = new LinkedHashMap<>();
    /** Number of the newest change of each name that is listed. */
    private final Map<String, Long> shown = new LinkedHashMap<>();

    private long changes;
    private long index = 1;
    private long busyUntil;
    private double slowness = 1;
    private boolean up = true;
    private long upSince;
    /** Balancers that have been started. */
    private final Set<Integer> started = new LinkedHashSet<>();
    /** Changes that count as told to all by now. */
    private final Map<String, Entry> toldToAll = new LinkedHashMap<>();
    /** The list as each balancer was last written it, where a new process starts with that. */
    private final Map<Integer, Held> held = new LinkedHashMap<>();

    private record Held(long index, Collection<Entry> entries) {}

    /** @param cutSince since when a balancer is cut off from the service, -1 if it is not */
    DiscoveryService(
            Scenario.Discovery spec,
            Time time,
            UniformRandomProvider chance,
            Judge judge,
            Reach reach,
            IntToLongFunction cutSince,
            Calls calls) {
        this.calls = calls;
        this.cutSince = cutSince;
        this.spec = spec;
        this.time = time;
        this.chance = chance;
        this.judge = judge;
        this.reach = reach;
    }

    /** How discovery came to know of a change. */
    enum Sign {
        ENDED,
        SILENT,
        ADDED
    }

    /** Lists a process from the start of the run on. */
    void begin(Entry entry) {
        listed.put(entry.name(), entry);
    }

    /** Something has changed; the list shows it once discovery has noticed. */
    void changed(Entry entry, Sign sign) {
        long after = Draw.within(
                chance,
                switch (sign) {
                    case ENDED -> spec.notice();
                    case SILENT -> spec.silent();
                    case ADDED -> spec.add();
                });
        long number = ++changes;
        time.after(after, () -> {
            // What was noticed late may have been overtaken by what came after it.
            if (shown.getOrDefault(entry.name(), 0L) < number) {
                shown.put(entry.name(), number);
                list(entry);
            }
        });
    }

    private void list(Entry entry) {
        index++;
        toldToAll.remove(entry.name());
        Long before = changedLast.put(entry.name(), index);
        if (before != null) {
            history.remove(before);
        }
        history.put(index, entry);
        while (history.size() > MOST_HISTORY) {
            history.pollFirstEntry();
        }
        if (entry.status() == Status.TERMINATED) {
            listed.remove(entry.name());
        } else {
            listed.put(entry.name(), entry);
        }
        watches.forEach(Watch::due);
        push();
        if (!spec.pushed()) {
            long shownAt = index;
            time.after(TOLD_MICROS, () -> countAsTold(entry, shownAt));
        }
    }

    /** A change is long enough ago, unless discovery could not be reached since. */
    private void countAsTold(Entry entry, long shownAt) {
        if (changedLast.get(entry.name()) != shownAt) {
            return; // a later change of it has a time of its own
        }
        if (!up || time.now() - upSince < TOLD_MICROS) {
            time.after(up ? upSince + TOLD_MICROS - time.now() : TOLD_MICROS, () -> countAsTold(entry, shownAt));
            return;
        }
        toldToAll.put(entry.name(), entry);
        for (int balancer : started) {
            if (cutSince.applyAsLong(balancer) < 0) {
                told(balancer, List.of(entry));
            }
        }
    }

    /** What changed after a version. */
    private List<Entry> since(long version) {
        return List.copyOf(history.tailMap(version, false).values());
    }

    /** The list as it is shown now. */
    Collection<Entry> listed() {
        return List.copyOf(listed.values());
    }

    public void slow(double times) {
        slowness = times;
    }

    public void down() {
        up = false;
        for (Connection c : List.copyOf(connections)) {
            c.over = true;
            c.link.close();
        }
        connections.clear();
        watches.clear();
    }

    public void up() {
        up = true;
        upSince = time.now();
        busyUntil = 0;
        push();
    }

    /** An agent beside a balancer, to which changes are pushed; it hears nothing while {@code reached} says so. */
    Agent agent(int balancer, BooleanSupplier reached) {
        return agents.computeIfAbsent(
                balancer,
                b -> new Agent(
                        new Agent.Source() {
                            @Override
                            public boolean up() {
                                return up && reached.getAsBoolean();
                            }

                            @Override
                            public long index() {
                                return index;
                            }

                            @Override
                            public Collection<Entry> listed() {
                                return DiscoveryService.this.listed();
                            }

                            @Override
                            public long delayMicros() {
                                return Draw.within(chance, spec.spread());
                            }

                            @Override
                            public byte[] line(long at, boolean snapshot, Collection<Entry> entries) {
                                return DiscoveryService.this.line(at, snapshot, entries, balancer);
                            }

                            @Override
                            public void told(Collection<Entry> entries) {
                                DiscoveryService.this.told(balancer, entries);
                            }
                        },
                        time));
    }

    /** Sends all agents what they have not heard yet; those that can't be reached go without. */
    void push() {
        agents.values().forEach(Agent::due);
    }

    LinkEvents accept(Link link, int balancer) {
        if (!up && !spec.busyWhenDown()) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** A balancer's process starts with the list as it is now; of what its forerunner was told it knows nothing. */
    void given(int balancer) {
        judge.started(balancer);
        started.add(balancer);
        told(balancer, listedFor(balancer));
        told(balancer, toldToAll.values());
    }

    /** The list as a balancer last held it: the agent's, where there is one. */
    Collection<Entry> listedFor(int balancer) {
        Agent agent = agents.get(balancer);
        Held last = held.get(balancer);
        return agent != null ? agent.held() : last != null ? last.entries() : listed();
    }

    long indexFor(int balancer) {
        Agent agent = agents.get(balancer);
        Held last = held.get(balancer);
        return agent != null ? agent.index() : last != null ? last.index() : index;
    }

    private void told(int balancer, Collection<Entry> entries) {
        for (Entry e : entries) {
            judge.told(balancer, e.name(), e.status() != Status.IN_SERVICE, e.sinceMicros());
        }
    }

    private byte[] line(long at, boolean snapshot, Collection<Entry> entries, int balancer) {
        long since = cutSince.applyAsLong(balancer);
        if (since < 0) {
            told(balancer, entries);
            if (spec.startsAsHeld()) {
                held.put(balancer, new Held(at, listed()));
            }
        } else {
            // Seen: what was written into a connection that a cut had silenced counted as told, and the rule broke.
            time.after(
                    Math.max(0, since + TOLD_MICROS - time.now()),
                    () -> told(
                            balancer,
                            entries.stream()
                                    .map(e -> listed.getOrDefault(e.name(), e))
                                    .toList()));
        }
        return (Listing.object(at, snapshot, entries, host -> reach.address(host, balancer), reach::unixMillis) + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final HttpRequests reader = new HttpRequests();
        private boolean over;
        private Watch watch;

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null && !over; r = reader.next()) {
                    call(r.target());
                }
            } catch (HttpException e) {
                end(400, "Bad Request");
            }
        }

        private void end(int status, String reason) {
            if (!over) {
                over = true;
                link.write(HttpRequests.response(status, reason, "Connection: close\r\n", NONE));
                link.finish(true);
                connections.remove(this);
            }
        }

        private void turnDown() {
            if (!over) {
                calls.ended(balancer, TURNED_DOWN);
                end(503, "Service Unavailable");
            }
        }

        /** One after another: a call begins when those before it are done. */
        private void call(String target) {
            if (!up) {
                turnDown();
                return;
            }
            boolean watching = target.contains("watch=1");
            if (!target.startsWith("/v1/servers")) {
                end(404, "Not Found");
                return;
            }
            long lines = watching ? 1 : listed.size();
            long cost = (long) ((spec.callMicros() + lines * spec.lineMicros()) * slowness);
            long start = Math.max(time.now(), busyUntil);
            if (start + cost - time.now() > spec.timeoutMicros()) {
                busyUntil = start + (long) (spec.failedMicros() * slowness);
                time.after(spec.atOnce() ? 0 : spec.timeoutMicros(), this::turnDown);
                return;
            }
            busyUntil = start + cost;
            time.after(busyUntil - time.now(), () -> {
                if (!over && up) {
                    calls.ended(balancer, watching ? WATCHED : ANSWERED);
                    if (watching) {
                        watch(ListStream.from(target));
                    } else {
                        byte[] body = line(index, true, listed(), balancer);
                        link.write(HttpRequests.response(200, "OK", "Content-Type: application/json\r\n", body));
                    }
                }
            });
        }

        private void watch(long from) {
            watch = new Watch(this);
            watches.add(watch);
            boolean known = from >= 1 && from <= index && (history.isEmpty() || from >= history.firstKey() - 1);
            watch.stream.open(line(index, !known, known ? since(from) : listed(), balancer));
            watch.shown = index;
        }

        @Override
        public void closed() {
            over = true;
            connections.remove(this);
            if (watch != null) {
                watches.remove(watch);
            }
        }
    }

    /** One balancer's watch: changes some time after they are listed, and an empty line while there are none. */
    private final class Watch {
        private final Connection on;
        private final ListStream stream;
        private long shown;
        private boolean set;

        Watch(Connection on) {
            this.on = on;
            stream = new ListStream(on.link, time, () -> !on.over && up, () -> true);
        }

        void due() {
            if (!set) {
                set = true;
                time.after(Draw.within(chance, spec.spread()), () -> {
                    set = false;
                    if (!on.over && up) {
                        stream.write(line(index, false, since(shown), on.balancer));
                        shown = index;
                    }
                });
            }
        }
    }
}
