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
 * Simulates the discovery service: an eventually consistent list of processes, which balancers fetch or watch. Calls
 * are served one at a time and fail if they would wait too long; while the service is down, watches end and no call
 * succeeds. It also tells the judge when a change counts as delivered to a balancer.
 *
 * <p>Not thread-safe: all calls come from the platform's event thread. Times are in microseconds.
 */
public final class DiscoveryService {

    private static final int MAX_HISTORY = 1000;
    /**
     * Time after which a change counts as delivered, counted from when it was listed and the service reachable. For a
     * balancer that is cut off, counted from the start of the partition.
     */
    private static final long DELIVERY_DEADLINE_MICROS = 6_000_000;

    private static final byte[] EMPTY_BODY = new byte[0];

    /** Resolves the addresses of hosts for a balancer, and converts the platform's time to Unix time. */
    public interface AddressResolver {
        /** Returns the address of a host as a balancer reaches it. */
        InetSocketAddress address(int host, int balancer);

        /** Converts a time of the platform's clock to Unix time in milliseconds. */
        long unixMillis(long micros);
    }

    /** Receives the outcome of each call: one of the event names below. */
    @FunctionalInterface
    interface CallListener {
        void callEnded(int balancer, String outcome);
    }

    static final String WATCHED = "list-watched";
    static final String ANSWERED = "list-answered";
    static final String REJECTED = "list-turned-down";

    private final Scenario.Discovery spec;
    private final Time time;
    private final UniformRandomProvider random;
    private final Judge judge;
    private final AddressResolver reach;
    private final IntToLongFunction partitionedSince;
    private final CallListener callListener;
    /** The current entries by name. */
    private final Map<String, Entry> listed = new LinkedHashMap<>();

    /** The latest change of each name by its version, terminated ones included. */
    private final TreeMap<Long, Entry> changeHistory = new TreeMap<>();

    private final Map<String, Long> lastChangeVersion = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** The agent of each balancer, if the list is pushed. */
    private final Map<Integer, Agent> agents = new LinkedHashMap<>();
    /** Sequence number of the newest change of each name that has been listed. */
    private final Map<String, Long> newestChange = new LinkedHashMap<>();

    private long changeCount;
    private long index = 1;
    private long busyUntil;
    private double slowdown = 1;
    private boolean up = true;
    private long upSince;
    private final Set<Integer> startedBalancers = new LinkedHashSet<>();
    /** Changes that count as delivered to all balancers. */
    private final Map<String, Entry> deliveredToAll = new LinkedHashMap<>();
    /** The list last sent to each balancer, if a new process starts with that. */
    private final Map<Integer, WrittenList> lastWritten = new LinkedHashMap<>();

    /** A list as it was sent, with its version. */
    private record WrittenList(long index, Collection<Entry> entries) {}

    /** @param partitionedSince returns since when a balancer is cut off from the service, or -1 if it is not */
    DiscoveryService(
            Scenario.Discovery spec,
            Time time,
            UniformRandomProvider random,
            Judge judge,
            AddressResolver reach,
            IntToLongFunction partitionedSince,
            CallListener callListener) {
        this.callListener = callListener;
        this.partitionedSince = partitionedSince;
        this.spec = spec;
        this.time = time;
        this.random = random;
        this.judge = judge;
        this.reach = reach;
    }

    /** How discovery can notice a change, which determines how long it takes. */
    enum ChangeCause {
        ENDED,
        SILENT,
        ADDED
    }

    /** Lists a process before the run begins. */
    void begin(Entry entry) {
        listed.put(entry.name(), entry);
    }

    /** Reports a change, which is listed after the delay with which discovery notices it. */
    void changed(Entry entry, ChangeCause sign) {
        long noticeMicros = Draw.within(
                random,
                switch (sign) {
                    case ENDED -> spec.notice();
                    case SILENT -> spec.silent();
                    case ADDED -> spec.add();
                });
        long changeNumber = ++changeCount;
        time.schedule(noticeMicros, () -> {
            // A later change of the same name may have been noticed first.
            if (newestChange.getOrDefault(entry.name(), 0L) < changeNumber) {
                newestChange.put(entry.name(), changeNumber);
                list(entry);
            }
        });
    }

    private void list(Entry entry) {
        index++;
        deliveredToAll.remove(entry.name());
        Long previousVersion = lastChangeVersion.put(entry.name(), index);
        if (previousVersion != null) {
            changeHistory.remove(previousVersion);
        }
        changeHistory.put(index, entry);
        while (changeHistory.size() > MAX_HISTORY) {
            changeHistory.pollFirstEntry();
        }
        if (entry.status() == Status.TERMINATED) {
            listed.remove(entry.name());
        } else {
            listed.put(entry.name(), entry);
        }
        watches.forEach(Watch::scheduleUpdate);
        push();
        if (!spec.pushed()) {
            long listedVersion = index;
            time.schedule(DELIVERY_DEADLINE_MICROS, () -> assumeDelivered(entry, listedVersion));
        }
    }

    /** Counts a change as delivered to all reachable balancers, once the service has been up for the deadline. */
    private void assumeDelivered(Entry entry, long listedVersion) {
        if (lastChangeVersion.get(entry.name()) != listedVersion) {
            return; // superseded by a later change, which has its own deadline
        }
        if (!up || time.now() - upSince < DELIVERY_DEADLINE_MICROS) {
            time.schedule(
                    up ? upSince + DELIVERY_DEADLINE_MICROS - time.now() : DELIVERY_DEADLINE_MICROS,
                    () -> assumeDelivered(entry, listedVersion));
            return;
        }
        deliveredToAll.put(entry.name(), entry);
        for (int balancer : startedBalancers) {
            if (partitionedSince.applyAsLong(balancer) < 0) {
                recordDelivered(balancer, List.of(entry));
            }
        }
    }

    /** Returns the changes after a version. */
    private List<Entry> changesSince(long version) {
        return List.copyOf(changeHistory.tailMap(version, false).values());
    }

    /** Returns the current entries. */
    Collection<Entry> listed() {
        return List.copyOf(listed.values());
    }

    /** Makes all calls take {@code factor} times as long, until the next call; 1 restores the usual speed. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Takes the service down: closes all connections and ends all watches. */
    public void down() {
        up = false;
        for (Connection c : List.copyOf(connections)) {
            c.closed = true;
            c.link.close();
        }
        connections.clear();
        watches.clear();
    }

    /** Brings the service up again, with an empty queue of calls. */
    public void up() {
        up = true;
        upSince = time.now();
        busyUntil = 0;
        push();
    }

    /**
     * Returns the agent of a balancer, to which changes are pushed.
     *
     * @param reachable returns whether the service can reach the agent at present
     */
    Agent agent(int balancer, BooleanSupplier reachable) {
        return agents.computeIfAbsent(
                balancer,
                b -> new Agent(
                        new Agent.Source() {
                            @Override
                            public boolean reachable() {
                                return up && reachable.getAsBoolean();
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
                            public long pushDelayMicros() {
                                return Draw.within(random, spec.spread());
                            }

                            @Override
                            public byte[] encode(long version, boolean snapshot, Collection<Entry> entries) {
                                return DiscoveryService.this.encode(version, snapshot, entries, balancer);
                            }

                            @Override
                            public void recordDelivered(Collection<Entry> entries) {
                                DiscoveryService.this.recordDelivered(balancer, entries);
                            }
                        },
                        time));
    }

    /** Schedules an update of all agents; those that are unreachable by then don't receive it. */
    void push() {
        agents.values().forEach(Agent::scheduleUpdate);
    }

    /** Accepts a connection; returns null if the service is down and does not answer errors. */
    LinkEvents accept(Link link, int balancer) {
        if (!up && !spec.busyWhenDown()) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** Records that a new balancer process knows the list that it starts with, and nothing its predecessor was sent. */
    void given(int balancer) {
        judge.started(balancer);
        startedBalancers.add(balancer);
        recordDelivered(balancer, listedFor(balancer));
        recordDelivered(balancer, deliveredToAll.values());
    }

    /** Returns the list that a new process of a balancer starts with: that of its agent, if there is one. */
    Collection<Entry> listedFor(int balancer) {
        Agent agent = agents.get(balancer);
        WrittenList written = lastWritten.get(balancer);
        return agent != null ? agent.entries() : written != null ? written.entries() : listed();
    }

    /** Returns the version of the list that a new process of a balancer starts with. */
    long indexFor(int balancer) {
        Agent agent = agents.get(balancer);
        WrittenList written = lastWritten.get(balancer);
        return agent != null ? agent.index() : written != null ? written.index() : index;
    }

    private void recordDelivered(int balancer, Collection<Entry> entries) {
        for (Entry entry : entries) {
            judge.told(balancer, entry.name(), entry.status() != Status.IN_SERVICE, entry.startedAtMicros());
        }
    }

    /** Encodes entries for a balancer, and records them as delivered; after the deadline, if it is cut off. */
    private byte[] encode(long version, boolean snapshot, Collection<Entry> entries, int balancer) {
        long isolatedSince = partitionedSince.applyAsLong(balancer);
        if (isolatedSince < 0) {
            recordDelivered(balancer, entries);
            if (spec.startsAsHeld()) {
                lastWritten.put(balancer, new WrittenList(version, listed()));
            }
        } else {
            // Data written during a partition does not arrive: the entries count as delivered after the deadline only.
            time.schedule(
                    Math.max(0, isolatedSince + DELIVERY_DEADLINE_MICROS - time.now()),
                    () -> recordDelivered(
                            balancer,
                            entries.stream()
                                    .map(entry -> listed.getOrDefault(entry.name(), entry))
                                    .toList()));
        }
        return (Listing.object(version, snapshot, entries, host -> reach.address(host, balancer), reach::unixMillis)
                        + "\n")
                .getBytes(StandardCharsets.UTF_8);
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final HttpRequests reader = new HttpRequests();
        private boolean closed;
        private Watch watch;

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null && !closed; r = reader.next()) {
                    call(r.target());
                }
            } catch (HttpException e) {
                closeWith(400, "Bad Request");
            }
        }

        private void closeWith(int status, String reason) {
            if (!closed) {
                closed = true;
                link.write(HttpRequests.response(status, reason, "Connection: close\r\n", EMPTY_BODY));
                link.shutdownOutput(true);
                connections.remove(this);
            }
        }

        private void rejectCall() {
            if (!closed) {
                callListener.callEnded(balancer, REJECTED);
                closeWith(503, "Service Unavailable");
            }
        }

        /** Queues a call behind earlier ones, or rejects it if it would exceed the time-out. */
        private void call(String target) {
            if (!up) {
                time.schedule(spec.atOnce() ? 0 : spec.timeoutMicros(), this::rejectCall);
                return;
            }
            boolean isWatch = target.contains("watch=1");
            if (!target.startsWith("/v1/servers")) {
                closeWith(404, "Not Found");
                return;
            }
            long lineCount = isWatch ? 1 : listed.size();
            long costMicros = (long) ((spec.callMicros() + lineCount * spec.lineMicros()) * slowdown);
            long startAt = Math.max(time.now(), busyUntil);
            if (startAt + costMicros - time.now() > spec.timeoutMicros()) {
                busyUntil = startAt + (long) (spec.failedMicros() * slowdown);
                time.schedule(spec.atOnce() ? 0 : spec.timeoutMicros(), this::rejectCall);
                return;
            }
            busyUntil = startAt + costMicros;
            time.schedule(busyUntil - time.now(), () -> {
                if (!closed && up) {
                    callListener.callEnded(balancer, isWatch ? WATCHED : ANSWERED);
                    if (isWatch) {
                        watch(ListStream.fromVersion(target));
                    } else {
                        byte[] body = encode(index, true, listed(), balancer);
                        link.write(HttpRequests.response(200, "OK", "Content-Type: application/json\r\n", body));
                    }
                }
            });
        }

        private void watch(long fromVersion) {
            watch = new Watch(this);
            watches.add(watch);
            boolean resumable = fromVersion >= 1
                    && fromVersion <= index
                    && (changeHistory.isEmpty() || fromVersion >= changeHistory.firstKey() - 1);
            watch.stream.open(encode(index, !resumable, resumable ? changesSince(fromVersion) : listed(), balancer));
            watch.writtenIndex = index;
        }

        @Override
        public void closed() {
            closed = true;
            connections.remove(this);
            if (watch != null) {
                watches.remove(watch);
            }
        }
    }

    /** A watch: sends changes in batches some time after they are listed, and heartbeats in between. */
    private final class Watch {
        private final Connection connection;
        private final ListStream stream;
        private long writtenIndex;
        private boolean updateScheduled;

        Watch(Connection connection) {
            this.connection = connection;
            stream = new ListStream(connection.link, time, () -> !connection.closed && up, () -> true);
        }

        void scheduleUpdate() {
            if (!updateScheduled) {
                updateScheduled = true;
                time.schedule(Draw.within(random, spec.spread()), () -> {
                    updateScheduled = false;
                    if (!connection.closed && up) {
                        stream.write(encode(index, false, changesSince(writtenIndex), connection.balancer));
                        writtenIndex = index;
                    }
                });
            }
        }
    }
}
