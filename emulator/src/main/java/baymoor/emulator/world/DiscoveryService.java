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
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Discovery: a list that is seconds late, asked for in whole or watched. Calls are worked off one after another and
 * fail when they have waited too long; when it is down, watches end and nothing answers.
 */
public final class DiscoveryService {

    private static final long PERIOD_MICROS = 2_000_000;
    private static final int MOST_HISTORY = 1000;
    private static final byte[] NONE = new byte[0];

    /** The address of a host as one balancer reaches it, and the Unix time of a moment of the world's clock. */
    public interface Reach {
        InetSocketAddress address(int host, int balancer);

        long unixMillis(long micros);
    }

    private final Scenario.Discovery spec;
    private final Time time;
    private final UniformRandomProvider chance;
    private final Judge judge;
    private final Reach reach;
    /** What is listed, and the last change of each name by its version, those that ended among them. */
    private final Map<String, Entry> listed = new LinkedHashMap<>();
    private final TreeMap<Long, Entry> history = new TreeMap<>();
    private final Map<String, Long> changedLast = new LinkedHashMap<>();
    private final Set<Watch> watches = new LinkedHashSet<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Number of the newest change of each name that is listed. */
    private final Map<String, Long> shown = new LinkedHashMap<>();
    private long changes;
    private long index = 1;
    private long busyUntil;
    private double slowness = 1;
    private boolean up = true;

    DiscoveryService(Scenario.Discovery spec, Time time, UniformRandomProvider chance, Judge judge, Reach reach) {
        this.spec = spec;
        this.time = time;
        this.chance = chance;
        this.judge = judge;
        this.reach = reach;
    }

    /** How discovery came to know of a change. */
    enum Sign { ENDED, SILENT, ADDED }

    /** Lists a process from the start of the run on. */
    void begin(Entry entry) {
        listed.put(entry.name(), entry);
    }

    /** Something has changed; the list shows it once discovery has noticed. */
    void changed(Entry entry, Sign sign) {
        long after = Draw.within(chance, switch (sign) {
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
    }

    long index() {
        return index;
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
        busyUntil = 0;
    }

    LinkEvents accept(Link link, int balancer) {
        if (!up) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** A balancer's process starts with the list as it is now; of what its forerunner was told it knows nothing. */
    void given(int balancer) {
        judge.started(balancer);
        told(balancer, listed());
    }

    private void told(int balancer, Collection<Entry> entries) {
        for (Entry e : entries) {
            judge.told(balancer, e.name(), e.status() != Status.IN_SERVICE, e.sinceMicros());
        }
    }

    private byte[] line(long at, boolean snapshot, Collection<Entry> entries, int balancer) {
        told(balancer, entries);
        return (Listing.object(at, snapshot, entries, host -> reach.address(host, balancer),
                reach::unixMillis) + "\n")
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
                link.closeWhenWritten();
                connections.remove(this);
            }
        }

        /** One after another: a call begins when those before it are done. */
        private void call(String target) {
            boolean watching = target.contains("watch=1");
            if (!target.startsWith("/v1/servers")) {
                end(404, "Not Found");
                return;
            }
            long lines = watching ? 1 : listed.size();
            long cost = (long) ((spec.callMicros() + lines * spec.lineMicros()) * slowness);
            long start = Math.max(time.now(), busyUntil);
            if (start + cost - time.now() > spec.patienceMicros()) {
                time.after(spec.patienceMicros(), () -> end(503, "Service Unavailable"));
                return;
            }
            busyUntil = start + cost;
            time.after(busyUntil - time.now(), () -> {
                if (!over && up) {
                    if (watching) {
                        watch(from(target));
                    } else {
                        byte[] body = line(index, true, listed(), balancer);
                        link.write(HttpRequests.response(200, "OK", "Content-Type: application/json\r\n", body));
                    }
                }
            });
        }

        private static long from(String target) {
            String number = target.replaceAll(".*[?&]from=([0-9]{1,18}).*", "$1");
            return number.matches("[0-9]+") ? Long.parseLong(number) : 0;
        }

        private void watch(long from) {
            link.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII));
            watch = new Watch(this);
            watches.add(watch);
            boolean known = from >= 1 && from <= index && (history.isEmpty() || from >= history.firstKey() - 1);
            if (known && from > 0) {
                watch.write(line(index, false, history.tailMap(from, false).values(), balancer));
            } else {
                watch.write(line(index, true, listed(), balancer));
            }
            watch.shown = index;
            watch.beat();
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
        private long shown;
        private boolean set;
        private long wroteAt;

        Watch(Connection on) {
            this.on = on;
        }

        void write(byte[] bytes) {
            wroteAt = time.now();
            byte[] head = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            byte[] chunk = new byte[head.length + bytes.length + 2];
            System.arraycopy(head, 0, chunk, 0, head.length);
            System.arraycopy(bytes, 0, chunk, head.length, bytes.length);
            chunk[chunk.length - 2] = '\r';
            chunk[chunk.length - 1] = '\n';
            on.link.write(chunk);
        }

        void due() {
            if (!set) {
                set = true;
                time.after(Draw.within(chance, spec.spread()), () -> {
                    set = false;
                    if (!on.over && up) {
                        List<Entry> changes = new ArrayList<>(history.tailMap(shown, false).values());
                        write(line(index, false, changes, on.balancer));
                        shown = index;
                    }
                });
            }
        }

        void beat() {
            time.after(PERIOD_MICROS, () -> {
                if (!on.over && up) {
                    if (time.now() - wroteAt >= PERIOD_MICROS) {
                        write(new byte[] {'\n'});
                    }
                    beat();
                }
            });
        }
    }
}
