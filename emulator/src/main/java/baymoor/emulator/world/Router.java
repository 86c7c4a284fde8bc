package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.AnswerFault;
import baymoor.emulator.scenario.Scenario.Expired;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.emulator.scenario.Scenario.RouterKind;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;
import baymoor.resp.RespWriter;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates a cache router as a state machine without I/O, driven by the bytes of its connections and by a clock.
 *
 * <p>It reproduces behavior of real servers that a balancer has to tolerate:
 *
 * <ul>
 *   <li>Closing a connection neither stops running requests nor removes queued ones.
 *   <li>A request past its deadline may still be started.
 *   <li>A request answered with an error may have taken effect.
 *   <li>Answers may be corrupted.
 * </ul>
 *
 * <p>Not thread-safe: all calls come from the simulation's event thread. Times are in microseconds of the simulation's
 * clock, work is in CPU microseconds at speed 1.
 */
public final class Router {

    private static final long SPEED_UPDATE_MICROS = 100_000;
    private static final long IDLE_CHECK_MICROS = 1_000_000;
    private static final long FETCH_LEASE_MICROS = 500_000;
    private static final int MAX_FETCH_LEASES = 10_000;
    private static final int GARBAGE_BYTES = 48;
    /** Tolerance factor on the cold-router overload budget; keeps random variation alone from crashing it. */
    private static final double BUDGET_MARGIN = 1.1;

    private static final byte[] BUSY = RespWriter.error("BUSY");
    private static final byte[] FAILED = RespWriter.error("ERR failed");
    private static final byte[] NULL_BULK = RespWriter.utf8("$-1\r\n");

    /** The lifecycle state of a router. */
    public enum State {
        UP,
        DRAINING,
        DOWN
    }

    /**
     * Records work received while cold.
     *
     * @param at time of receipt
     * @param work the work received
     * @param startKnown whether the sending balancer knew of the router's start
     */
    private record ColdWork(long at, double work, boolean startKnown) {}

    private final String name;
    private final int zone;
    private final RouterKind kind;
    private final Scenario.Figures figures;
    private final Time time;
    private final UniformRandomProvider random;
    private final WorkloadModel catalogue;
    private final CacheFiller fills;
    private final Judge judge;
    private final Arrivals arrivals;
    private final Tally tally;
    private final Consumer<Router> onCrash;
    private final double speed;
    private final ProcessorSharingServer server;
    private final ObjectCache cache;
    private final LoadReporter gauge;
    private final Map<String, Long> fetchLeases = new LinkedHashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<ColdWork> recentColdWork = new ArrayDeque<>();
    private State state = State.DOWN;
    private long startedAt;
    private long warmUpEndsAt;
    private long warmUpMicros;
    private double workDoneAtStart;
    private double coldWorkSum;
    private double startKnownWorkSum;
    private double slowdown = 1;
    private boolean paused;
    private int hangCount;
    private int incarnation;
    private AnswerFault answerFault;
    private double answerFaultShare;

    /** @param onCrash called when the router crashes under overload while cold */
    Router(
            String name,
            int zone,
            RouterKind kind,
            Scenario.Figures figures,
            Time time,
            UniformRandomProvider random,
            WorkloadModel catalogue,
            CacheFiller fills,
            Judge judge,
            Arrivals arrivals,
            Tally tally,
            Consumer<Router> onCrash) {
        this.arrivals = arrivals;
        this.name = name;
        this.zone = zone;
        this.kind = kind;
        this.figures = figures;
        this.time = time;
        this.random = random;
        this.catalogue = catalogue;
        this.fills = fills;
        this.judge = judge;
        this.tally = tally;
        this.onCrash = onCrash;
        speed = kind.speed() * Math.max(0.2, 1 + kind.speedSpread() * Draw.normal(random));
        server = new ProcessorSharingServer(
                time,
                kind.cores(),
                kind.slots() * kind.cores(),
                kind.room() * kind.cores(),
                speed,
                kind.thrash(),
                kind.crowd());
        gauge = new LoadReporter(kind.slots() * kind.cores());
        cache = new ObjectCache(kind.memory(), kind.ttlMicros());
    }

    /** Returns the name under which the inventory lists this router. */
    public String name() {
        return name;
    }

    /** Returns the index of this router's zone. */
    public int zone() {
        return zone;
    }

    /** Returns the parameters that all routers of this kind share. */
    public RouterKind kind() {
        return kind;
    }

    /** Returns the lifecycle state. */
    public State state() {
        return state;
    }

    /** Returns when the router last started; 0 if it is down, or has been up since before the simulation began. */
    public long startedAt() {
        return startedAt;
    }

    /** Returns the capacity at the kind's nominal speed, in work per microsecond. */
    public double ratedCapacity() {
        return kind.cores() * kind.speed();
    }

    /** Returns the capacity when warm: work per microsecond. */
    public double capacity() {
        return kind.cores() * speed;
    }

    int runningCount() {
        return server.runningCount();
    }

    int waitingCount() {
        return server.waitingCount();
    }

    /**
     * Starts the process.
     *
     * @param startedAtMicros time of the start for a router that starts cold, with an empty cache; 0 if it starts warm
     */
    public void start(long startedAtMicros) {
        incarnation++;
        state = State.UP;
        startedAt = startedAtMicros;
        if (startedAtMicros > 0) {
            cache.clear();
            warmUpMicros = Draw.within(random, kind.coldMicros());
            warmUpEndsAt = time.now() + warmUpMicros;
            workDoneAtStart = server.completedWork();
        }
        updateSpeedWhileWarming(incarnation);
        schedulePause(incarnation);
        scheduleIdleCheck(incarnation);
    }

    /** Ends the process: loses all state and closes all connections. The caller must close the listening socket. */
    public void stop() {
        incarnation++;
        state = State.DOWN;
        warmUpEndsAt = 0;
        startedAt = 0;
        paused = false;
        server.clear();
        cache.clear();
        fetchLeases.clear();
        recentColdWork.clear();
        coldWorkSum = 0;
        startKnownWorkSum = 0;
        for (Connection c : List.copyOf(connections)) {
            c.link.close();
        }
        connections.clear();
    }

    /** Starts draining: finishes accepted requests and rejects new ones. */
    public void drain() {
        state = State.DRAINING;
    }

    /** Stops draining and accepts new requests again. */
    public void undrain() {
        state = State.UP;
    }

    /** Makes all work take {@code factor} times as long, until the next call; 1 restores the usual speed. */
    public void setSlowdown(double factor) {
        slowdown = factor;
        updateSpeed();
    }

    /**
     * Hangs the router, which then accepts connections and requests but makes no progress, or resumes it. Calls nest.
     *
     * @param on true to hang, false to undo one earlier call
     */
    public void hang(boolean on) {
        hangCount += on ? 1 : -1;
        updateSpeed();
    }

    /**
     * Corrupts a random share of the answers from now on.
     *
     * @param fault how answers are corrupted, or null to stop
     * @param share probability for each answer, from 0 to 1
     */
    public void injectAnswerFault(AnswerFault fault, double share) {
        answerFault = fault;
        answerFaultShare = share;
    }

    /** Stops all work for a while, as a garbage collection pause does. */
    void pause(long micros) {
        int ownIncarnation = incarnation;
        paused = true;
        updateSpeed();
        time.schedule(micros, () -> {
            if (ownIncarnation == incarnation) {
                paused = false;
                updateSpeed();
            }
        });
    }

    private void schedulePause(int ownIncarnation) {
        if (kind.pause().most() == 0) {
            return;
        }
        time.schedule(Draw.within(random, kind.pauseEvery()), () -> {
            if (ownIncarnation == incarnation) {
                pause(Draw.within(random, kind.pause()));
                schedulePause(ownIncarnation);
            }
        });
    }

    /** Returns the current capacity as a fraction of the warm capacity, from {@code coldShare} to 1. */
    public double warmUpFactor() {
        if (warmUpEndsAt <= time.now() && !kind.warmsByWork() || warmUpMicros == 0) {
            return 1;
        }
        double progress = 1 - (double) (warmUpEndsAt - time.now()) / warmUpMicros;
        if (kind.warmsByWork()) {
            double needed = capacity() * warmUpMicros / 2;
            progress = Math.max(progress, (server.completedWork() - workDoneAtStart) / needed);
        }
        return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * Math.max(0, progress));
    }

    /** Returns whether the router has started during the run and is still warming up. */
    public boolean cold() {
        return state != State.DOWN && startedAt > 0 && warmUpFactor() < 1;
    }

    private void updateSpeedWhileWarming(int ownIncarnation) {
        if (ownIncarnation == incarnation) {
            updateSpeed();
            if (warmUpFactor() < 1) {
                time.schedule(SPEED_UPDATE_MICROS, () -> updateSpeedWhileWarming(ownIncarnation));
            }
        }
    }

    private void updateSpeed() {
        server.setSpeedFactor(paused || hangCount > 0 ? 0 : warmUpFactor() / slowdown);
    }

    /** Stores an object that was fetched from the origin on a miss here. */
    void store(String key, long size) {
        if (state != State.DOWN) {
            fetchLeases.remove(key);
            cache.put(key, size, time.now());
        }
    }

    /** Removes an object from the cache because it has changed at the origin. */
    void invalidate(String key) {
        cache.remove(key);
    }

    /**
     * Invalidates cached objects at random.
     *
     * @param share probability for each object, from 0 to 1
     */
    void flush(double share) {
        cache.removeRandom(share, random);
    }

    private void scheduleIdleCheck(int ownIncarnation) {
        time.schedule(IDLE_CHECK_MICROS, () -> {
            if (ownIncarnation == incarnation) {
                for (Connection c : List.copyOf(connections)) {
                    if (c.pendingAnswers.isEmpty() && time.now() - c.lastUsedAt > kind.idleMicros()) {
                        c.link.close();
                        connections.remove(c);
                    }
                }
                scheduleIdleCheck(ownIncarnation);
            }
        });
    }

    /** Accepts a connection; returns null if the router is down or at its connection limit. */
    LinkEvents accept(Link link, int balancer) {
        if (state == State.DOWN || connections.size() >= kind.connections()) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** Counts work received while cold, and crashes the router if the recent work exceeds its overload budget. */
    private void recordColdWork(int balancer, double work) {
        if (!cold()) {
            return;
        }
        long now = time.now();
        boolean startKnown = judge.knowsStart(balancer, name, startedAt);
        recentColdWork.add(new ColdWork(now, work, startKnown));
        coldWorkSum += work;
        startKnownWorkSum += startKnown ? work : 0;
        while (now - recentColdWork.peek().at > figures.tipMicros()) {
            ColdWork old = recentColdWork.poll();
            coldWorkSum -= old.work;
            startKnownWorkSum -= old.startKnown ? old.work : 0;
        }
        double budget = figures.tipMultiple() * capacity() * warmUpFactor() * figures.tipMicros() * BUDGET_MARGIN;
        if (coldWorkSum > budget) {
            judge.tipped(name, startKnownWorkSum / coldWorkSum);
            stop();
            onCrash.accept(this);
        }
    }

    /** The answer to one request of a connection; answers are written in the order of the requests. */
    private static final class PendingAnswer {
        final String id;
        byte[] answer;
        boolean notRun;

        PendingAnswer(String id) {
            this.id = id;
        }
    }

    /** Serves a connection from a balancer, over which requests may be pipelined. */
    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final RespReader reader = RespReader.ofCommands();
        private final Deque<PendingAnswer> pendingAnswers = new ArrayDeque<>();
        private final int ownIncarnation = incarnation;
        private final long connectionId = arrivals.connection();
        private boolean firstRequest = true;
        private boolean closed;
        private long lastUsedAt = time.now();

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            if (closed || ownIncarnation != incarnation) {
                return;
            }
            lastUsedAt = time.now();
            reader.feed(bytes);
            try {
                for (Resp command = reader.next();
                        command != null && ownIncarnation == incarnation;
                        command = reader.next()) {
                    handleCommand(((Resp.Array) command)
                            .items().stream()
                                    .map(w -> ((Resp.BulkString) w).bytes())
                                    .toList());
                }
            } catch (RespException e) {
                link.close(); // the stream can't be resynchronized
                closed();
            }
        }

        private void handleCommand(List<byte[]> arguments) {
            String command = ascii(arguments.get(0));
            boolean read = command.equals("OBJ.GET") && arguments.size() == 4;
            if (read || command.equals("OBJ.SET") && arguments.size() == 5) {
                request(ascii(arguments.get(1)), ascii(arguments.get(2)), ascii(arguments.get(3)), read);
                return;
            }
            PendingAnswer pendingAnswer = new PendingAnswer(null);
            pendingAnswers.add(pendingAnswer);
            switch (command) {
                case "PING" -> {
                    tally.probed();
                    answer(pendingAnswer, RespWriter.simple("PONG"));
                }
                case "CLIENT", "SELECT" -> answer(pendingAnswer, RespWriter.simple("OK"));
                case "INFO" -> {
                    boolean reportsEnabled = figures.reports() != Scenario.Reports.OFF;
                    tally.probed();
                    answer(
                            pendingAnswer,
                            reportsEnabled
                                    ? RespWriter.bulk(RespWriter.utf8(gauge.report(time.now(), server)))
                                    : RespWriter.error("NOPERM"));
                }
                case "OBJ.GET", "OBJ.SET" -> answer(pendingAnswer, RespWriter.error("SYNTAX"));
                default -> answer(pendingAnswer, RespWriter.error("ERR unknown command"));
            }
        }

        private static String ascii(byte[] argument) {
            return new String(argument, StandardCharsets.US_ASCII);
        }

        private void request(String key, String id, String facts, boolean read) {
            arrivals.came(id, balancer, name, connectionId);
            PendingAnswer pendingAnswer = new PendingAnswer(id);
            pendingAnswers.add(pendingAnswer);
            RequestClass requestClass = catalogue.requestClass(String.valueOf(Facts.get(facts, "c")));
            long timeoutMicros = Facts.number(facts, "d", 0) * 1000;
            if (requestClass == null || timeoutMicros <= 0) {
                answer(pendingAnswer, RespWriter.error("SYNTAX"));
                return;
            }
            long keyNumber;
            try {
                keyNumber = Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                answer(pendingAnswer, RespWriter.error("SYNTAX"));
                return;
            }
            WorkloadModel.KeyProfile profile = catalogue.profile(keyNumber);
            boolean hit = read && cache.hit(key, time.now());
            double work = (hit ? catalogue.work(requestClass, profile) : kind.missMicros())
                    + (firstRequest ? kind.handshakeMicros() : 0);
            firstRequest = false;
            if (read) {
                fills.recordRead();
            }
            recordColdWork(balancer, work);
            if (ownIncarnation != incarnation) {
                return; // the router has crashed
            }
            RequestJob job =
                    new RequestJob(this, pendingAnswer, key, id, profile, read, work, time.now() + timeoutMicros);
            if (state == State.DRAINING || !server.offer(job)) {
                reject(pendingAnswer);
            }
        }

        private void reject(PendingAnswer pendingAnswer) {
            tally.turnedAway();
            pendingAnswer.notRun = true;
            answer(pendingAnswer, BUSY);
        }

        private void answer(PendingAnswer pendingAnswer, byte[] answer) {
            pendingAnswer.answer = answer;
            while (!closed && !pendingAnswers.isEmpty() && pendingAnswers.peek().answer != null) {
                write(pendingAnswers.poll());
            }
        }

        private void write(PendingAnswer pendingAnswer) {
            lastUsedAt = time.now();
            if (pendingAnswer.id != null && answerFault != null && Draw.chance(random, answerFaultShare)) {
                writeFaulty(pendingAnswer);
                return;
            }
            if (pendingAnswer.id != null) {
                judge.hostAnswered(pendingAnswer.id, name, pendingAnswer.notRun);
            }
            link.write(pendingAnswer.answer);
        }

        private void writeFaulty(PendingAnswer pendingAnswer) {
            switch (answerFault) {
                case GARBLE -> {
                    byte[] randomBytes = new byte[GARBAGE_BYTES];
                    random.nextBytes(randomBytes);
                    link.write(randomBytes);
                }
                case CUT_SHORT ->
                    link.write(java.util.Arrays.copyOf(
                            pendingAnswer.answer, Math.max(1, pendingAnswer.answer.length / 2)));
                case DOUBLE -> {
                    judge.hostAnswered(pendingAnswer.id, name, pendingAnswer.notRun);
                    ByteArrayOutputStream twice = new ByteArrayOutputStream();
                    twice.writeBytes(pendingAnswer.answer);
                    twice.writeBytes(pendingAnswer.answer);
                    link.write(twice.toByteArray());
                }
                case RESET -> {
                    link.close();
                    closed();
                }
                case ERROR -> {
                    judge.hostAnswered(pendingAnswer.id, name, false);
                    link.write(FAILED);
                }
                default -> {} // SILENT: nothing is written
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
        private final PendingAnswer pendingAnswer;
        private final String key;
        private final String id;
        private final WorkloadModel.KeyProfile profile;
        private final boolean read;
        private final double work;
        private final long deadline;
        private boolean hit;

        RequestJob(
                Connection connection,
                PendingAnswer pendingAnswer,
                String key,
                String id,
                WorkloadModel.KeyProfile profile,
                boolean read,
                double work,
                long deadline) {
            this.connection = connection;
            this.pendingAnswer = pendingAnswer;
            this.key = key;
            this.id = id;
            this.profile = profile;
            this.read = read;
            this.work = work;
            this.deadline = deadline;
        }

        @Override
        public double begin() {
            boolean expired = time.now() > deadline;
            if (expired
                    && (kind.expired() == Expired.DROP || kind.expired() == Expired.EITHER && random.nextBoolean())) {
                connection.reject(pendingAnswer);
                return -1;
            }
            hit = read && cache.hit(key, time.now());
            return hit ? work : Math.min(work, kind.missMicros() + kind.handshakeMicros());
        }

        @Override
        public void completed() {
            if (connection.ownIncarnation != incarnation) {
                return;
            }
            if (connection.closed) {
                tally.wasted();
            }
            if (!hit) {
                miss();
                return;
            }
            tally.hit();
            judge.ran(id, name);
            if (Draw.chance(random, kind.errorRate())) {
                connection.answer(pendingAnswer, FAILED);
                return;
            }
            byte[] value = Values.value(key, id, profile.size());
            judge.made(id, value);
            connection.answer(pendingAnswer, answer(RespWriter.bulk(value), "hit"));
        }

        private void miss() {
            long now = time.now();
            boolean pending = fetchLeases.getOrDefault(key, 0L) > now;
            if (read) {
                tally.missed();
                fetchLeases.put(key, now + FETCH_LEASE_MICROS);
                if (fetchLeases.size() > MAX_FETCH_LEASES) {
                    fetchLeases.remove(fetchLeases.keySet().iterator().next());
                }
                fills.recordMiss(id, Router.this, cold());
            }
            pendingAnswer.notRun = true;
            connection.answer(pendingAnswer, answer(NULL_BULK, pending ? "pending" : "miss"));
        }

        private byte[] answer(byte[] value, String cacheStatus) {
            ByteArrayOutputStream out = new ByteArrayOutputStream(value.length + 96);
            out.writeBytes(RespWriter.utf8("*3\r\n"));
            out.writeBytes(value);
            out.writeBytes(RespWriter.bulk(RespWriter.utf8(cacheStatus)));
            out.writeBytes(
                    figures.reports() == Scenario.Reports.INLINE
                            ? RespWriter.bulk(RespWriter.utf8(gauge.report(time.now(), server)))
                            : NULL_BULK);
            return out.toByteArray();
        }
    }

    /** An object that is in the cache when the run begins. */
    record PrefilledObject(String key, long size) {}

    /**
     * Fills the cache before the run.
     *
     * @param objects the objects, the most recently used first
     */
    void prefill(List<PrefilledObject> objects) {
        for (int i = objects.size() - 1; i >= 0; i--) {
            cache.put(objects.get(i).key, objects.get(i).size, time.now());
        }
    }
}
