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
 * Simulates the origin behind all routers, over HTTP/1.1: {@code GET /KEY} and {@code PUT /KEY}. It counts each applied
 * write, drops repeated writes with the same idempotency key within a window, completes requests whose connection has
 * closed, and crashes under sustained overload.
 *
 * <p>Not thread-safe: all calls come from the platform's event thread. Times are in microseconds.
 */
public final class Origin {

    public static final String NAME = "origin";
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final String UNPROCESSED_HEADER = "X-Unprocessed: 1\r\n";

    /** A recent request; {@code cold}: whether it is a read that missed at a cold router. */
    private record Arrival(long at, boolean cold) {}

    private final Scenario.Origin spec;
    private final Time time;
    private final UniformRandomProvider random;
    private final WorkloadModel catalogue;
    private final CacheFiller fills;
    private final Judge judge;
    private final Arrivals arrivals;
    private final Tally tally;
    private final DoubleSupplier coldReadShare;
    private final Runnable onCrash;
    private final ProcessorSharingServer server;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Arrival> recentArrivals = new ArrayDeque<>();
    private final Map<String, Long> idempotencyExpiry = new HashMap<>();
    private final ArrayDeque<String> idempotencyOrder = new ArrayDeque<>();
    private int coldArrivals;
    private int crashCount;
    private int incarnation;
    private boolean up = true;
    private long receiptCount;

    /**
     * @param coldReadShare returns the share of reads that cold routers get if weights follow current capacities
     * @param onCrash       called after a crash; the callee stops listening and starts the origin again later
     */
    Origin(
            Scenario scenario,
            Time time,
            UniformRandomProvider random,
            WorkloadModel catalogue,
            CacheFiller fills,
            Judge judge,
            Arrivals arrivals,
            Tally tally,
            DoubleSupplier coldReadShare,
            Runnable onCrash) {
        spec = scenario.origin();
        this.time = time;
        this.random = random;
        this.catalogue = catalogue;
        this.fills = fills;
        this.judge = judge;
        this.arrivals = arrivals;
        this.tally = tally;
        this.coldReadShare = coldReadShare;
        this.onCrash = onCrash;
        server = new ProcessorSharingServer(time, spec.slots(), spec.slots(), spec.room(), 1, 0, 1);
    }

    boolean up() {
        return up;
    }

    /** Makes all requests take {@code factor} times as long, until the next call; 1 restores the usual speed. */
    public void setSlowdown(double factor) {
        server.setSpeedFactor(1 / factor);
    }

    /** Ends the process: drops all requests and closes all connections; applied writes stay applied. */
    public void stop() {
        up = false;
        incarnation++;
        server.clear();
        recentArrivals.clear();
        coldArrivals = 0;
        for (Connection c : List.copyOf(connections)) {
            c.closed = true;
            c.link.close();
        }
        connections.clear();
    }

    /** Starts the process. */
    public void start() {
        up = true;
    }

    /** Accepts a connection; returns null if the origin is down. */
    LinkEvents accept(Link link, int balancer) {
        if (!up) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** Counts an arrival, and crashes the origin if the recent load exceeds its limit. */
    private void recordArrival(boolean cold) {
        long now = time.now();
        recentArrivals.add(new Arrival(now, cold));
        coldArrivals += cold ? 1 : 0;
        while (now - recentArrivals.peek().at > spec.fallMicros()) {
            coldArrivals -= recentArrivals.poll().cold ? 1 : 0;
        }
        double limit = spec.fallMultiple() * spec.capacity() * spec.fallMicros() / 1e6;
        if (recentArrivals.size() > limit && crashCount < spec.mostFalls()) {
            crashCount++;
            double expectedColdReads = fills.recentReads() * coldReadShare.getAsDouble();
            judge.originFell(
                    (double) coldArrivals / recentArrivals.size(),
                    expectedColdReads <= 0 ? Double.MAX_VALUE : coldArrivals / expectedColdReads);
            stop();
            onCrash.run();
        }
    }

    /** A connection of a balancer, whose requests are processed one at a time. */
    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final long connectionId = arrivals.connection();
        private final HttpRequests reader = new HttpRequests();
        private final int ownIncarnation = incarnation;
        private final ArrayDeque<HttpRequests.Request> pendingRequests = new ArrayDeque<>();
        private boolean busy;
        private boolean closed;

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            if (closed || ownIncarnation != incarnation) {
                return;
            }
            reader.feed(bytes);
            try {
                for (HttpRequests.Request r = reader.next(); r != null; r = reader.next()) {
                    pendingRequests.add(r);
                }
                serve();
            } catch (HttpException e) {
                answer(400, "Bad Request", "Connection: close\r\n", EMPTY_BODY);
                closed = true;
                link.shutdownOutput(true);
            }
        }

        private void serve() {
            while (!busy && !closed && !pendingRequests.isEmpty()) {
                busy = true;
                request(pendingRequests.poll());
            }
        }

        private void answer(int status, String reason, String extraHeaders, byte[] body) {
            busy = false;
            if (!closed && ownIncarnation == incarnation) {
                link.write(HttpRequests.response(status, reason, extraHeaders, body));
            }
        }

        private void request(HttpRequests.Request r) {
            String id = r.headers().get("x-correlation-id");
            String facts = r.headers().getOrDefault("x-facts", "");
            if (r.method().equals("GET")
                    && (r.target().equals("/healthz") || r.target().equals("/load"))) {
                tally.probed();
                answer(200, "OK", "", EMPTY_BODY);
                return;
            }
            RequestClass requestClass = catalogue.requestClass(String.valueOf(Facts.get(facts, "c")));
            boolean read = r.method().equals("GET");
            if (id == null || requestClass == null || !read && !r.method().equals("PUT")) {
                answer(400, "Bad Request", "", EMPTY_BODY);
                return;
            }
            arrivals.came(id, balancer, NAME, connectionId);
            if (read) {
                tally.fetched();
            }
            recordArrival(read && fills.missedWhileCold(id));
            if (ownIncarnation != incarnation) {
                return; // the origin has crashed
            }
            if (!server.offer(new RequestJob(this, r.target().substring(1), id, facts, requestClass, read))) {
                tally.turnedAway();
                judge.hostAnswered(id, NAME, true);
                answer(503, "Service Unavailable", UNPROCESSED_HEADER, EMPTY_BODY);
                serve();
            }
        }

        @Override
        public void closed() {
            closed = true;
            connections.remove(this);
            arrivals.closed(connectionId);
        }
    }

    /** A queued or running request, which continues after its connection has closed. */
    private final class RequestJob implements ProcessorSharingServer.Job {
        private final Connection connection;
        private final String key;
        private final String id;
        private final String facts;
        private final RequestClass requestClass;
        private final boolean read;

        RequestJob(
                Connection connection, String key, String id, String facts, RequestClass requestClass, boolean read) {
            this.connection = connection;
            this.key = key;
            this.id = id;
            this.facts = facts;
            this.requestClass = requestClass;
            this.read = read;
        }

        @Override
        public double begin() {
            return spec.slots() / spec.capacity() * 1e6 * Draw.logNormal(random, spec.sigma());
        }

        @Override
        public void completed() {
            if (connection.ownIncarnation != incarnation) {
                return;
            }
            if (connection.closed) {
                tally.wasted();
            }
            if (read) {
                completeRead();
            } else {
                completeWrite();
            }
            connection.serve();
        }

        private void completeRead() {
            judge.ran(id, NAME);
            if (Draw.chance(random, spec.errorRate())) {
                answerError();
                return;
            }
            long size = catalogue.profile(keyNumber()).size();
            byte[] value = Values.value(key, id, size);
            judge.made(id, value);
            if (!connection.closed) {
                fills.fill(id, key, size);
                judge.hostAnswered(id, NAME, false);
            }
            connection.answer(200, "OK", "", value);
        }

        /** Returns the key as a number; a key that is not hexadecimal is hashed. */
        private long keyNumber() {
            try {
                return Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                return key.hashCode();
            }
        }

        private void completeWrite() {
            String idempotencyKey = Facts.get(facts, "k");
            if (idempotencyKey != null && idempotencyExpiry.getOrDefault(idempotencyKey, 0L) > time.now()) {
                tally.repeatDropped();
            } else {
                judge.ran(id, NAME);
                tally.wrote();
                fills.invalidate(key);
                receiptCount++;
                if (idempotencyKey != null) {
                    rememberIdempotencyKey(idempotencyKey);
                }
            }
            if (Draw.chance(random, spec.errorRate())) {
                answerError();
                return;
            }
            byte[] receipt = Values.receipt(key, id, receiptCount);
            judge.made(id, receipt);
            judge.hostAnswered(id, NAME, false);
            connection.answer(200, "OK", "", receipt);
        }

        private void rememberIdempotencyKey(String idempotencyKey) {
            idempotencyExpiry.put(idempotencyKey, time.now() + requestClass.windowMicros());
            idempotencyOrder.add(idempotencyKey);
            while (idempotencyExpiry.getOrDefault(idempotencyOrder.peek(), 0L) <= time.now()) {
                idempotencyExpiry.remove(idempotencyOrder.poll());
            }
        }

        private void answerError() {
            judge.hostAnswered(id, NAME, false);
            connection.answer(500, "Internal Server Error", "", EMPTY_BODY);
        }
    }
}
