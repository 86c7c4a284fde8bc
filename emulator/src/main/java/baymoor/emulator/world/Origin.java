package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.http.HttpException;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The one slow store behind all routers, over HTTP/1.1: {@code GET /KEY} and {@code PUT /KEY}. It counts every effect
 * of a write, drops the repeat of a keyed one within its window, goes on with work that nobody waits for, and stops for
 * some seconds when it was sent too much for too long.
 */
public final class Origin {

    public static final String NAME = "origin";
    private static final byte[] NONE = new byte[0];
    private static final String UNTOUCHED = "X-Unprocessed: 1\r\n";

    private record Arrival(long at, boolean cold) {}

    private final Scenario.Origin spec;
    private final Time time;
    private final UniformRandomProvider chance;
    private final Catalogue catalogue;
    private final Fills fills;
    private final Judge judge;
    private final Arrivals arrivals;
    private final Tally tally;
    private final DoubleSupplier coldDue;
    private final Runnable fell;
    private final Station station;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Arrival> recent = new ArrayDeque<>();
    private final Map<String, Long> keyed = new HashMap<>();
    private final ArrayDeque<String> keyedOrder = new ArrayDeque<>();
    private int coldArrivals;
    private int falls;
    private int life;
    private boolean up = true;
    private long receipts;

    /**
     * @param coldDue share of all reads that is due to routers that are cold, by weights cut by the stated warm-up
     * @param fell    hears that it stops; whoever listens for it closes, and starts it again later
     */
    Origin(
            Scenario scenario,
            Time time,
            UniformRandomProvider chance,
            Catalogue catalogue,
            Fills fills,
            Judge judge,
            Arrivals arrivals,
            Tally tally,
            DoubleSupplier coldDue,
            Runnable fell) {
        spec = scenario.origin();
        this.time = time;
        this.chance = chance;
        this.catalogue = catalogue;
        this.fills = fills;
        this.judge = judge;
        this.arrivals = arrivals;
        this.tally = tally;
        this.coldDue = coldDue;
        this.fell = fell;
        station = new Station(time, spec.slots(), spec.slots(), spec.room(), 1, 0, 1);
    }

    boolean up() {
        return up;
    }

    /** It serves so many times slower from now on. */
    public void slow(double times) {
        station.factor(1 / times);
    }

    /** It is gone, with all that it was doing; what it had carried out stays carried out. */
    public void stop() {
        up = false;
        life++;
        station.clear();
        recent.clear();
        coldArrivals = 0;
        for (Connection c : List.copyOf(connections)) {
            c.over = true;
            c.link.close();
        }
        connections.clear();
    }

    /** Its process is up. */
    public void start() {
        up = true;
    }

    LinkEvents accept(Link link, int balancer) {
        if (!up) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    private void press(boolean cold) {
        long now = time.now();
        recent.add(new Arrival(now, cold));
        coldArrivals += cold ? 1 : 0;
        while (now - recent.peek().at > spec.fallMicros()) {
            coldArrivals -= recent.poll().cold ? 1 : 0;
        }
        double most = spec.fallMultiple() * spec.capacity() * spec.fallMicros() / 1e6;
        if (recent.size() > most && falls < spec.mostFalls()) {
            falls++;
            double due = fills.reads() * coldDue.getAsDouble();
            judge.originFell((double) coldArrivals / recent.size(), due <= 0 ? Double.MAX_VALUE : coldArrivals / due);
            stop();
            fell.run();
        }
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final long number = arrivals.connection();
        private final HttpRequests reader = new HttpRequests();
        private final int born = life;
        private final ArrayDeque<HttpRequests.Request> row = new ArrayDeque<>();
        private boolean busy;
        private boolean over;

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            if (over || born != life) {
                return;
            }
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null; r = reader.next()) {
                    row.add(r);
                }
                serve();
            } catch (HttpException e) {
                answer(400, "Bad Request", "Connection: close\r\n", NONE);
                over = true;
                link.finish(true);
            }
        }

        private void serve() {
            while (!busy && !over && !row.isEmpty()) {
                busy = true;
                request(row.poll());
            }
        }

        private void answer(int status, String reason, String extra, byte[] body) {
            busy = false;
            if (!over && born == life) {
                link.write(HttpRequests.response(status, reason, extra, body));
            }
        }

        private void request(HttpRequests.Request r) {
            String id = r.headers().get("x-correlation-id");
            String facts = r.headers().getOrDefault("x-facts", "");
            if (r.method().equals("GET")
                    && (r.target().equals("/healthz") || r.target().equals("/load"))) {
                tally.probed();
                answer(200, "OK", "", NONE);
                return;
            }
            RequestClass kind = catalogue.kind(String.valueOf(Facts.get(facts, "c")));
            boolean read = r.method().equals("GET");
            if (id == null || kind == null || !read && !r.method().equals("PUT")) {
                answer(400, "Bad Request", "", NONE);
                return;
            }
            arrivals.came(id, balancer, NAME, number);
            if (read) {
                tally.fetched();
            }
            press(read && fills.missedCold(id));
            if (born != life) {
                return; // that was too much
            }
            if (!station.offer(new Work(this, r.target().substring(1), id, facts, kind, read))) {
                tally.turnedAway();
                judge.hostAnswered(id, NAME, true);
                answer(503, "Service Unavailable", UNTOUCHED, NONE);
                serve();
            }
        }

        @Override
        public void closed() {
            over = true;
            connections.remove(this);
            arrivals.closed(number);
        }
    }

    private final class Work implements Station.Job {
        private final Connection from;
        private final String key;
        private final String id;
        private final String facts;
        private final RequestClass kind;
        private final boolean read;

        Work(Connection from, String key, String id, String facts, RequestClass kind, boolean read) {
            this.from = from;
            this.key = key;
            this.id = id;
            this.facts = facts;
            this.kind = kind;
            this.read = read;
        }

        @Override
        public double begin() {
            return spec.slots() / spec.capacity() * 1e6 * Draw.logNormal(chance, spec.sigma());
        }

        @Override
        public void done() {
            if (from.born != life) {
                return;
            }
            if (from.over) {
                tally.wasted();
            }
            if (read) {
                fetch();
            } else {
                write();
            }
            from.serve();
        }

        private void fetch() {
            judge.ran(id, NAME);
            if (Draw.chance(chance, spec.errorRate())) {
                fail();
                return;
            }
            long size = catalogue.profile(number()).size();
            byte[] value = Values.value(key, id, size);
            judge.made(id, value);
            if (!from.over) {
                fills.fetched(id, key, size);
                judge.hostAnswered(id, NAME, false);
            }
            from.answer(200, "OK", "", value);
        }

        private long number() {
            try {
                return Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                return key.hashCode();
            }
        }

        private void write() {
            String idempotency = Facts.get(facts, "k");
            if (idempotency != null && keyed.getOrDefault(idempotency, 0L) > time.now()) {
                tally.repeatDropped();
            } else {
                judge.ran(id, NAME);
                tally.wrote();
                fills.changed(key);
                receipts++;
                if (idempotency != null) {
                    remember(idempotency);
                }
            }
            if (Draw.chance(chance, spec.errorRate())) {
                fail();
                return;
            }
            byte[] receipt = Values.receipt(key, id, receipts);
            judge.made(id, receipt);
            judge.hostAnswered(id, NAME, false);
            from.answer(200, "OK", "", receipt);
        }

        private void remember(String idempotency) {
            keyed.put(idempotency, time.now() + kind.windowMicros());
            keyedOrder.add(idempotency);
            while (keyed.getOrDefault(keyedOrder.peek(), 0L) <= time.now()) {
                keyed.remove(keyedOrder.poll());
            }
        }

        private void fail() {
            judge.hostAnswered(id, NAME, false);
            from.answer(500, "Internal Server Error", "", NONE);
        }
    }
}
