package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.AnswerKind;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.Effect;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;
import baymoor.resp.RespWriter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/**
 * Generates the client traffic of all zones: open-loop Poisson arrivals, keys of Zipf popularity, attempts with a
 * timeout, at most one retry per request, and persistent connections. Also models the front-end load balancer that
 * assigns connections to balancers. Runs on the thread of the platform's timers.
 */
public final class Clients implements Fleet.Watcher {

    /** Time until the front-end load balancer detects that a balancer is ready. */
    private static final long READY_DETECTION_MICROS = 100_000;
    /** Part of an attempt's timeout after which an impatient client leaves, at least and at most. */
    private static final double MIN_ABANDON_FRACTION = 0.2;

    private static final double MAX_ABANDON_FRACTION = 0.7;
    /** Maximum relative error of the work estimate that a request carries. */
    private static final double WORK_HINT_ERROR = 0.1;

    private final Scenario scenario;
    private final WorkloadModel catalogue;
    private final Judge judge;
    private final Tally tally;
    private final Platform platform;
    private final long timeoutSlackMicros;
    private final double[] classShares;
    private final double[] tenantShares;
    private final Zone[] zones;
    /** Balancers that the front-end load balancer considers ready. */
    private final boolean[] knownReady;
    /** Number of changes of each balancer's state, by which outdated detections are recognised. */
    private final int[] generations;
    /** Balancers that were told to stop and have not become ready since. */
    private final boolean[] stopping;
    /** Clock time in microseconds from which requests are counted. */
    private long measurementStart;

    /** Clock time in microseconds from which no new request arrives. */
    private long arrivalsEnd;

    private double loadFactor = 1;
    private double oneOffShare;
    private double hotKeyShare;
    private long hotKey;
    private long pendingRequests;

    public Clients(
            Scenario scenario, Platform platform, Streams streams, WorkloadModel catalogue, Judge judge, Tally tally) {
        this.scenario = scenario;
        this.platform = platform;
        this.catalogue = catalogue;
        this.judge = judge;
        this.tally = tally;
        timeoutSlackMicros = scenario.figures().answerSlackMicros() + Math.max(10_000, platform.slackMicros());
        classShares =
                scenario.classes().stream().mapToDouble(RequestClass::share).toArray();
        tenantShares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray();
        int count = scenario.balancers().count();
        knownReady = new boolean[count];
        generations = new int[count];
        stopping = new boolean[count];
        zones = new Zone[scenario.zones().size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone(z, streams);
        }
    }

    /** Starts the arrivals of all zones. */
    public void start() {
        measurementStart = zones[0].time.now() + scenario.warmUpMicros();
        arrivalsEnd = measurementStart + scenario.durationMicros();
        for (Zone zone : zones) {
            zone.nextArrivalAt = zone.time.now();
            zone.scheduleNextArrival();
        }
    }

    /** Multiplies the arrival rate by a factor from now on. */
    public void multiplyLoad(double factor) {
        loadFactor *= factor;
    }

    /** Sets the share of reads whose key is requested only once, as a scan over the key space does. */
    public void setOneOffReadShare(double share) {
        oneOffShare = share;
    }

    /** Directs a share of the requests to one key outside the popular ones; a share of 0 ends it. */
    public void setHotKey(double share, long key) {
        hotKeyShare = share;
        hotKey = key;
    }

    /** Returns the number of requests without an outcome yet. */
    public long pendingRequests() {
        return pendingRequests;
    }

    @Override
    public void ready(int balancer) {
        stopping[balancer] = false;
        int generation = ++generations[balancer];
        zones[0].time.schedule(
                READY_DETECTION_MICROS, () -> knownReady[balancer] = generation == generations[balancer]);
    }

    @Override
    public void ending(int balancer) {
        stopping[balancer] = true;
    }

    @Override
    public void ended(int balancer) {
        int generation = ++generations[balancer];
        zones[0].time.schedule(Draw.within(zones[0].random, scenario.traffic().frontNotice()), () -> {
            if (generation == generations[balancer]) {
                knownReady[balancer] = false;
            }
        });
    }

    /** Returns the balancers of a zone, or all balancers if the zone has none. */
    private static List<Integer> candidateBalancers(int zone, int zoneCount, int balancerCount) {
        List<Integer> candidates = new ArrayList<>();
        for (int b = 0; b < balancerCount; b++) {
            if (b % zoneCount == zone) {
                candidates.add(b);
            }
        }
        for (int b = 0; b < balancerCount && candidates.isEmpty(); b++) {
            candidates.add(b);
        }
        return candidates;
    }

    /** Arrivals and idle connections of one zone. */
    private final class Zone {
        private final int index;
        private final Time time;
        private final UniformRandomProvider random;
        private final SharedStateDiscreteSampler keyRanks;
        private final Dialer dialer;
        private final List<Integer> candidates;
        private final List<ArrayDeque<Connection>> idleConnections = new ArrayList<>();
        private long nextArrivalAt;

        Zone(int index, Streams streams) {
            this.index = index;
            String name = "clients-" + scenario.zones().get(index);
            time = platform.time(name, index);
            random = streams.of(name);
            keyRanks = RejectionInversionZipfSampler.of(
                    random, scenario.keys().count(), scenario.keys().exponent());
            dialer = platform.clients(index);
            candidates = candidateBalancers(index, scenario.zones().size(), knownReady.length);
            for (int b = 0; b < knownReady.length; b++) {
                idleConnections.add(new ArrayDeque<>());
            }
        }

        private double arrivalRate() {
            Scenario.Traffic traffic = scenario.traffic();
            double phase = 2 * Math.PI * (time.now() - measurementStart) / traffic.wavePeriodMicros();
            return traffic.rate()
                    * traffic.zoneShares().get(index)
                    * (1 + traffic.wave() * Math.sin(phase))
                    * loadFactor;
        }

        void scheduleNextArrival() {
            double rate = arrivalRate();
            if (rate <= 0) {
                return;
            }
            // Counts from the previous arrival, not from the timer's run: a delayed thread must not lower the load.
            nextArrivalAt += Math.max(1, (long) Math.ceil(Draw.exponential(random) / rate * 1e6));
            time.schedule(nextArrivalAt - time.now(), () -> {
                if (nextArrivalAt < arrivalsEnd) {
                    new Request(this).startAttempt();
                    scheduleNextArrival();
                }
            });
        }

        /** Returns a random balancer that the front end considers ready, or any balancer if there is none. */
        int chooseBalancer() {
            int start = random.nextInt(candidates.size());
            for (int i = 0; i < candidates.size(); i++) {
                int b = candidates.get((start + i) % candidates.size());
                if (knownReady[b]) {
                    return b;
                }
            }
            return candidates.get(start);
        }
    }

    /** A request of a client, including its retry. */
    private final class Request {
        private final Zone zone;
        private final RequestClass requestClass;
        private final String tenant;
        private final long key;
        private final WorkloadModel.KeyProfile profile;
        private final String idempotencyKey;
        private final long workHintMicros;
        private final long arrivedAt;
        private boolean retried;

        Request(Zone zone) {
            this.zone = zone;
            requestClass = scenario.classes().get(weightedIndex(zone.random, classShares));
            tenant = scenario.tenants()
                    .get(weightedIndex(zone.random, tenantShares))
                    .name();
            boolean oneOff = !requestClass.write() && Draw.chance(zone.random, oneOffShare);
            long baseKey = oneOff
                    ? zone.random.nextLong()
                    : catalogue.key(zone.keyRanks.sample() - 1, zone.time.now() - measurementStart);
            key = hotKeyShare > 0 && Draw.chance(zone.random, hotKeyShare) ? hotKey : baseKey;
            profile = catalogue.profile(key);
            idempotencyKey = requestClass.effect() == Effect.KEYED ? WorkloadModel.name(zone.random.nextLong()) : null;
            workHintMicros = (long) (catalogue.work(requestClass, profile)
                    * (1 + WORK_HINT_ERROR * (2 * zone.random.nextDouble() - 1)));
            arrivedAt = zone.time.now();
            pendingRequests++;
        }

        private static int weightedIndex(UniformRandomProvider random, double[] shares) {
            double remaining = random.nextDouble();
            int i = 0;
            while (i < shares.length - 1 && remaining >= shares[i]) {
                remaining -= shares[i++];
            }
            return i;
        }

        void startAttempt() {
            tally.tried();
            new ClientAttempt(this).start();
        }

        private double worth() {
            return requestClass.worth() * catalogue.work(requestClass, profile) / 1e6;
        }

        void finish(Tally.End outcome) {
            pendingRequests--;
            tally.ended(arrivedAt - measurementStart, outcome, zone.time.now() - arrivedAt, worth());
        }

        /**
         * Retries the request at most once, with the configured probability, if running it again is safe; otherwise
         * ends it with the outcome.
         *
         * @param retryAfterMicros the balancer's retry hint, 0 if it gave none
         */
        void attemptFailed(Tally.End outcome, long retryAfterMicros) {
            boolean allowed = requestClass.effect() != Effect.UNSAFE
                    || outcome == Tally.End.REFUSED
                    || outcome == Tally.End.UNREACHED;
            Scenario.Traffic traffic = scenario.traffic();
            if (!retried && allowed && Draw.chance(zone.random, traffic.retry())) {
                retried = true;
                long delay = Draw.within(zone.random, traffic.backoff());
                delay = Draw.chance(zone.random, traffic.honour()) ? Math.max(delay, retryAfterMicros) : delay;
                zone.time.schedule(delay, this::startAttempt);
            } else {
                finish(outcome);
            }
        }
    }

    /** One attempt of a request, with its own request id. */
    private final class ClientAttempt {
        private final Request request;
        private final Zone zone;
        private final String id;
        private final long deadline;
        private final long startedAt;
        private final Time.Timer timeoutTimer;
        private final Time.Timer abandonTimer;
        private Connection connection;
        private boolean finished;
        private boolean sent;
        private long sentAt;
        private boolean delivered;
        private boolean resent;

        ClientAttempt(Request request) {
            this.request = request;
            zone = request.zone;
            id = WorkloadModel.name(zone.random.nextLong());
            startedAt = zone.time.now();
            Scenario.Traffic traffic = scenario.traffic();
            double share = traffic.leastTry() + zone.random.nextDouble() * (traffic.mostTry() - traffic.leastTry());
            deadline = startedAt + (long) (request.requestClass.giveUpMicros() * share);
            timeoutTimer = zone.time.schedule(deadline + timeoutSlackMicros - startedAt, this::timeOut);
            boolean impatient = Draw.chance(zone.random, traffic.impatient());
            double abandonFraction =
                    MIN_ABANDON_FRACTION + zone.random.nextDouble() * (MAX_ABANDON_FRACTION - MIN_ABANDON_FRACTION);
            abandonTimer = impatient
                    ? zone.time.schedule((long) ((deadline - startedAt) * abandonFraction), this::abandon)
                    : null;
        }

        void start() {
            int balancer = zone.chooseBalancer();
            ArrayDeque<Connection> idleConnections = zone.idleConnections.get(balancer);
            Connection idle = resent ? null : idleConnections.pollLast();
            connection = idle != null ? idle : new Connection(zone, balancer);
            connection.send(this);
        }

        byte[] encodeCommand() {
            RequestClass requestClass = request.requestClass;
            long patienceMillis = Math.max(1, (deadline - zone.time.now()) / 1000);
            StringBuilder attributes = new StringBuilder("c=")
                    .append(requestClass.name())
                    .append(",t=")
                    .append(request.tenant)
                    .append(",d=")
                    .append(patienceMillis);
            if (request.idempotencyKey != null) {
                attributes.append(",k=").append(request.idempotencyKey);
            }
            if (request.retried && scenario.moduleSettings().retries()) {
                attributes.append(",r=1");
            }
            if (scenario.moduleSettings().work()) {
                attributes.append(",h=").append(request.workHintMicros);
            }
            if (scenario.moduleSettings().sizes()) {
                attributes.append(",size=").append(request.profile.size());
            }
            byte[] key = RespWriter.utf8(WorkloadModel.name(request.key));
            byte[] attributeList = RespWriter.utf8(attributes.toString());
            return requestClass.write()
                    ? RespWriter.command(
                            RespWriter.utf8("OBJ.SET"),
                            key,
                            RespWriter.utf8(id),
                            attributeList,
                            Values.value(WorkloadModel.name(request.key), id, request.profile.size()))
                    : RespWriter.command(RespWriter.utf8("OBJ.GET"), key, RespWriter.utf8(id), attributeList);
        }

        void write(Link link, int balancer) {
            if (!resent) {
                judge.asked(id, request.requestClass, deadline);
            }
            sent = true;
            sentAt = zone.time.now();
            if (link instanceof Tracked tracked) {
                tracked.write(encodeCommand(), () -> {
                    delivered = true;
                    judge.taken(id, balancer);
                });
            } else {
                link.write(encodeCommand());
            }
        }

        private void finish() {
            finished = true;
            timeoutTimer.cancel();
            if (abandonTimer != null) {
                abandonTimer.cancel();
            }
        }

        void answered(Resp answer) {
            finish();
            if (answer instanceof Resp.BulkString bulk && bulk.bytes() != null) {
                judge.answered(id, AnswerKind.SERVED, bulk.bytes());
                boolean onTime = zone.time.now() - request.arrivedAt <= request.requestClass.aimMicros();
                request.finish(onTime ? Tally.End.IN_TIME : Tally.End.LATE);
            } else if (answer instanceof Resp.ErrorReply f && f.text().startsWith("BUSY")) {
                judge.answered(id, AnswerKind.REFUSED, null);
                String retryAfterMillis = f.text().substring("BUSY".length()).strip();
                request.attemptFailed(
                        Tally.End.REFUSED,
                        retryAfterMillis.matches("[0-9]{1,9}") ? Long.parseLong(retryAfterMillis) * 1000 : 0);
            } else {
                judge.answered(id, AnswerKind.FAILED, null);
                request.attemptFailed(Tally.End.FAILED, 0);
            }
        }

        private void timeOut() {
            if (!finished) {
                finish();
                judge.unanswered(id);
                connection.discard();
                request.attemptFailed(sent ? Tally.End.LOST : Tally.End.UNREACHED, 0);
            }
        }

        private void abandon() {
            if (!finished) {
                finish();
                judge.left(id);
                connection.discard();
                request.finish(Tally.End.LEFT);
            }
        }

        /**
         * Handles the end of the connection before the answer: resends the request if it crossed the close of an idle
         * connection, and otherwise reports it as lost.
         *
         * @param reused whether the connection had answered an earlier request
         */
        void connectionLost(Link link, boolean reused) {
            Tracked.Ending ending = link instanceof Tracked t ? t.ending() : null;
            boolean closedByBalancer = ending == null
                    || ending == Tracked.Ending.BY_OTHER_SIDE
                    || ending == Tracked.Ending.OTHER_SIDE_DIED;
            // On sockets the cause of a close is unknown. A balancer that closes idle connections at a planned restart
            // may never have read the request, so a close within the platform's slack counts as crossing it.
            boolean crossedClose = ending == null
                    ? zone.time.now() - sentAt <= platform.slackMicros()
                    : !delivered && ending == Tracked.Ending.BY_OTHER_SIDE;
            // Nor is it known on sockets whether the request ran: resending an unsafe one could run it twice.
            boolean safeToResend = ending != null || request.requestClass.effect() != Effect.UNSAFE;
            if (reused && !resent && crossedClose && safeToResend && zone.time.now() < deadline) {
                resent = true;
                start();
                return;
            }
            finish();
            // The connection may also have been in the accept queue of a listener that closed.
            boolean maybeUnaccepted = ending == null && crossedClose && (reused || stopping[connection.balancer]);
            judge.lost(id, sent && closedByBalancer && !maybeUnaccepted);
            request.attemptFailed(sent ? Tally.End.LOST : Tally.End.UNREACHED, 0);
        }
    }

    /** A connection from a client to a balancer; carries one attempt at a time. */
    private final class Connection implements LinkEvents {
        private final Zone zone;
        private final int balancer;
        private final RespReader reader = RespReader.ofReplies();
        private Link link;
        private ClientAttempt currentAttempt;
        private boolean answered;
        private String lastAttemptId;
        private boolean closed;

        Connection(Zone zone, int balancer) {
            this.zone = zone;
            this.balancer = balancer;
        }

        void send(ClientAttempt attempt) {
            currentAttempt = attempt;
            if (link == null) {
                link = zone.dialer.dial(platform.balancer(balancer), this);
            } else {
                attempt.write(link, balancer);
            }
        }

        @Override
        public void opened() {
            if (currentAttempt != null && !closed) {
                currentAttempt.write(link, balancer);
            }
        }

        @Override
        public void received(byte[] bytes) {
            if (closed) {
                return; // on sockets an answer may still arrive after the attempt timed out
            }
            reader.feed(bytes);
            try {
                for (Resp answer = reader.next(); answer != null; answer = reader.next()) {
                    if (currentAttempt == null) {
                        unsolicitedAnswer(answer);
                        return;
                    }
                    ClientAttempt completed = currentAttempt;
                    currentAttempt = null;
                    answered = true;
                    lastAttemptId = completed.id;
                    zone.idleConnections.get(balancer).addLast(this);
                    completed.answered(answer);
                }
            } catch (RespException e) {
                closed = true;
                link.close();
                if (currentAttempt != null) {
                    currentAttempt.connectionLost(link, false);
                }
            }
        }

        /** Reports an unsolicited answer as a second answer to the last attempt and closes the connection. */
        private void unsolicitedAnswer(Resp answer) {
            if (lastAttemptId != null) {
                judge.answered(
                        lastAttemptId, answer instanceof Resp.BulkString ? AnswerKind.SERVED : AnswerKind.FAILED, null);
            }
            zone.idleConnections.get(balancer).remove(this);
            closed = true;
            link.close();
        }

        void discard() {
            closed = true;
            currentAttempt = null;
            link.close();
        }

        @Override
        public void written() {
            if (currentAttempt != null && currentAttempt.sent && !(link instanceof Tracked)) {
                judge.taken(currentAttempt.id, balancer);
            }
        }

        @Override
        public void closed() {
            closed = true;
            zone.idleConnections.get(balancer).remove(this);
            if (currentAttempt != null) {
                ClientAttempt lost = currentAttempt;
                currentAttempt = null;
                lost.connectionLost(link, answered);
            }
        }
    }
}
