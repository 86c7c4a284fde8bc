package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
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
 * The clients of all zones, and the front that deals out their connections: open-loop arrivals that wait for nothing,
 * popular keys after Zipf, tries that are given up, one retry at the most, connections that are kept and used again.
 */
public final class Clients implements Fleet.Watcher {

    private static final long FRONT_SEES_READY_MICROS = 100_000;
    private static final double EARLIEST_LEAVE = 0.2;
    private static final double LATEST_LEAVE = 0.7;
    private static final double HINT_ERROR = 0.1;

    private final Scenario scenario;
    private final Catalogue catalogue;
    private final Judge judge;
    private final Tally tally;
    private final Platform platform;
    private final long slack;
    private final double[] classShares;
    private final double[] tenantShares;
    private final Zone[] zones;
    private final boolean[] seen;
    private final int[] lives;
    /** Told to end and not ready again since. */
    private final boolean[] ending;
    /** Clock times from which requests are counted, and after which none is asked. */
    private long countFrom;

    private long endAt;
    private double surge = 1;
    private double scan;
    private double hot;
    private long hotKey;
    private long open;

    public Clients(
            Scenario scenario, Platform platform, Streams streams, Catalogue catalogue, Judge judge, Tally tally) {
        this.scenario = scenario;
        this.platform = platform;
        this.catalogue = catalogue;
        this.judge = judge;
        this.tally = tally;
        slack = scenario.figures().answerSlackMicros() + Math.max(10_000, platform.slackMicros());
        classShares =
                scenario.classes().stream().mapToDouble(RequestClass::share).toArray();
        tenantShares =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray();
        int count = scenario.balancers().count();
        seen = new boolean[count];
        lives = new int[count];
        ending = new boolean[count];
        zones = new Zone[scenario.zones().size()];
        for (int z = 0; z < zones.length; z++) {
            zones[z] = new Zone(z, streams);
        }
    }

    /** Begins to ask. */
    public void start() {
        countFrom = zones[0].time.now() + scenario.warmUpMicros();
        endAt = countFrom + scenario.durationMicros();
        for (Zone zone : zones) {
            zone.due = zone.time.now();
            zone.next();
        }
    }

    /** So many times the usual traffic from now on. */
    public void surge(double times) {
        surge *= times;
    }

    /** So large a share of the reads asks for keys that are wanted only once. */
    public void scan(double share) {
        scan = share;
    }

    /** So large a share of the requests asks for one key, which is among none of the popular ones. */
    public void hot(double share, long key) {
        hot = share;
        hotKey = key;
    }

    /** Requests that are not over yet. */
    public long open() {
        return open;
    }

    @Override
    public void ready(int balancer) {
        ending[balancer] = false;
        int life = ++lives[balancer];
        zones[0].time.after(FRONT_SEES_READY_MICROS, () -> seen[balancer] = life == lives[balancer]);
    }

    @Override
    public void ending(int balancer) {
        ending[balancer] = true;
    }

    @Override
    public void ended(int balancer) {
        int life = ++lives[balancer];
        zones[0].time.after(Draw.within(zones[0].chance, scenario.traffic().frontNotice()), () -> {
            if (life == lives[balancer]) {
                seen[balancer] = false;
            }
        });
    }

    /** The balancers that the front of a zone deals connections out to: its own, or else all. */
    private static List<Integer> near(int zone, int zones, int count) {
        List<Integer> near = new ArrayList<>();
        for (int b = 0; b < count; b++) {
            if (b % zones == zone) {
                near.add(b);
            }
        }
        for (int b = 0; b < count && near.isEmpty(); b++) {
            near.add(b);
        }
        return near;
    }

    private final class Zone {
        private final int number;
        private final Time time;
        private final UniformRandomProvider chance;
        private final SharedStateDiscreteSampler ranks;
        private final Dialer dialer;
        private final List<Integer> near;
        private final List<ArrayDeque<Connection>> idle = new ArrayList<>();
        private long due;

        Zone(int number, Streams streams) {
            this.number = number;
            String name = "clients-" + scenario.zones().get(number);
            time = platform.time(name, number);
            chance = streams.of(name);
            ranks = RejectionInversionZipfSampler.of(
                    chance, scenario.keys().count(), scenario.keys().exponent());
            dialer = platform.clients(number);
            near = near(number, scenario.zones().size(), seen.length);
            for (int b = 0; b < seen.length; b++) {
                idle.add(new ArrayDeque<>());
            }
        }

        private double rate() {
            Scenario.Traffic t = scenario.traffic();
            double phase = 2 * Math.PI * (time.now() - countFrom) / t.wavePeriodMicros();
            return t.rate() * t.zoneShares().get(number) * (1 + t.wave() * Math.sin(phase)) * surge;
        }

        void next() {
            double rate = rate();
            if (rate <= 0) {
                return;
            }
            // From arrival to arrival as drawn, not from when the timer ran: a held-up thread must not thin the load.
            due += Math.max(1, (long) Math.ceil(Draw.exponential(chance) / rate * 1e6));
            time.after(due - time.now(), () -> {
                if (due < endAt) {
                    new Request(this).ask();
                    next();
                }
            });
        }

        /** A balancer that the front holds for running, at random, or any where it holds none for that. */
        int balancer() {
            int start = chance.nextInt(near.size());
            for (int i = 0; i < near.size(); i++) {
                int b = near.get((start + i) % near.size());
                if (seen[b]) {
                    return b;
                }
            }
            return near.get(start);
        }
    }

    /** One profile that a client wants, through all its tries. */
    private final class Request {
        private final Zone zone;
        private final RequestClass kind;
        private final String tenant;
        private final long key;
        private final Catalogue.KeyProfile profile;
        private final String idempotency;
        private final long hint;
        private final long firstAsked;
        private boolean retried;

        Request(Zone zone) {
            this.zone = zone;
            kind = scenario.classes().get(pick(zone.chance, classShares));
            tenant = scenario.tenants().get(pick(zone.chance, tenantShares)).name();
            boolean once = !kind.write() && Draw.chance(zone.chance, scan);
            long usual =
                    once ? zone.chance.nextLong() : catalogue.key(zone.ranks.sample() - 1, zone.time.now() - countFrom);
            key = hot > 0 && Draw.chance(zone.chance, hot) ? hotKey : usual;
            profile = catalogue.profile(key);
            idempotency = kind.effect() == Effect.KEYED ? Catalogue.name(zone.chance.nextLong()) : null;
            hint = (long) (catalogue.work(kind, profile) * (1 + HINT_ERROR * (2 * zone.chance.nextDouble() - 1)));
            firstAsked = zone.time.now();
            open++;
        }

        private static int pick(UniformRandomProvider chance, double[] shares) {
            double at = chance.nextDouble();
            int i = 0;
            while (i < shares.length - 1 && at >= shares[i]) {
                at -= shares[i++];
            }
            return i;
        }

        void ask() {
            tally.tried();
            new Try(this).start();
        }

        private double worth() {
            return kind.worth() * catalogue.work(kind, profile) / 1e6;
        }

        void end(Tally.End end) {
            open--;
            tally.ended(firstAsked - countFrom, end, zone.time.now() - firstAsked, worth());
        }

        /** This try came to nothing: once, where its class allows it, the client may try again. */
        void failed(Tally.End end, long stayAwayMicros) {
            boolean allowed = kind.effect() != Effect.UNSAFE || end == Tally.End.REFUSED || end == Tally.End.UNREACHED;
            Scenario.Traffic t = scenario.traffic();
            if (!retried && allowed && Draw.chance(zone.chance, t.retry())) {
                retried = true;
                long wait = Draw.within(zone.chance, t.backoff());
                wait = Draw.chance(zone.chance, t.honour()) ? Math.max(wait, stayAwayMicros) : wait;
                zone.time.after(wait, this::ask);
            } else {
                end(end);
            }
        }
    }

    /** One try of a request, under an id of its own. */
    private final class Try {
        private final Request request;
        private final Zone zone;
        private final String id;
        private final long gone;
        private final long askedAt;
        private final Time.Timer timeout;
        private final Time.Timer leaves;
        private Connection on;
        private boolean over;
        private boolean written;
        private long wroteMicros;
        private boolean taken;
        private boolean resent;

        Try(Request request) {
            this.request = request;
            zone = request.zone;
            id = Catalogue.name(zone.chance.nextLong());
            askedAt = zone.time.now();
            Scenario.Traffic t = scenario.traffic();
            double share = t.leastTry() + zone.chance.nextDouble() * (t.mostTry() - t.leastTry());
            gone = askedAt + (long) (request.kind.giveUpMicros() * share);
            timeout = zone.time.after(gone + slack - askedAt, this::givenUp);
            boolean impatient = Draw.chance(zone.chance, t.impatient());
            double leave = EARLIEST_LEAVE + zone.chance.nextDouble() * (LATEST_LEAVE - EARLIEST_LEAVE);
            leaves = impatient ? zone.time.after((long) ((gone - askedAt) * leave), this::leave) : null;
        }

        void start() {
            int balancer = zone.balancer();
            ArrayDeque<Connection> idle = zone.idle.get(balancer);
            Connection kept = resent ? null : idle.pollLast();
            on = kept != null ? kept : new Connection(zone, balancer);
            on.carry(this);
        }

        byte[] command() {
            RequestClass kind = request.kind;
            long waits = Math.max(1, (gone - zone.time.now()) / 1000);
            StringBuilder facts = new StringBuilder("c=")
                    .append(kind.name())
                    .append(",t=")
                    .append(request.tenant)
                    .append(",d=")
                    .append(waits);
            if (request.idempotency != null) {
                facts.append(",k=").append(request.idempotency);
            }
            if (request.retried && scenario.moduleSettings().retries()) {
                facts.append(",r=1");
            }
            if (scenario.moduleSettings().work()) {
                facts.append(",h=").append(request.hint);
            }
            if (scenario.moduleSettings().sizes()) {
                facts.append(",size=").append(request.profile.size());
            }
            byte[] key = RespWriter.ascii(Catalogue.name(request.key));
            byte[] list = RespWriter.ascii(facts.toString());
            return kind.write()
                    ? RespWriter.command(
                            RespWriter.ascii("OBJ.SET"),
                            key,
                            RespWriter.ascii(id),
                            list,
                            Values.value(Catalogue.name(request.key), id, request.profile.size()))
                    : RespWriter.command(RespWriter.ascii("OBJ.GET"), key, RespWriter.ascii(id), list);
        }

        void write(Link link, int balancer) {
            if (!resent) {
                judge.asked(id, request.kind, gone);
            }
            written = true;
            wroteMicros = zone.time.now();
            if (link instanceof Tracked tracked) {
                tracked.write(command(), () -> {
                    taken = true;
                    judge.taken(id, balancer);
                });
            } else {
                link.write(command());
            }
        }

        private void settle() {
            over = true;
            timeout.cancel();
            if (leaves != null) {
                leaves.cancel();
            }
        }

        void answered(Resp answer) {
            settle();
            if (answer instanceof Resp.Bulk bulk && bulk.bytes() != null) {
                judge.answered(id, Judge.AnswerKind.SERVED, bulk.bytes());
                boolean inTime = zone.time.now() - request.firstAsked <= request.kind.aimMicros();
                request.end(inTime ? Tally.End.IN_TIME : Tally.End.LATE);
            } else if (answer instanceof Resp.Failure f && f.text().startsWith("BUSY")) {
                judge.answered(id, Judge.AnswerKind.REFUSED, null);
                String wait = f.text().substring("BUSY".length()).strip();
                request.failed(Tally.End.REFUSED, wait.matches("[0-9]{1,9}") ? Long.parseLong(wait) * 1000 : 0);
            } else {
                judge.answered(id, Judge.AnswerKind.FAILED, null);
                request.failed(Tally.End.FAILED, 0);
            }
        }

        private void givenUp() {
            if (!over) {
                settle();
                judge.unanswered(id);
                on.abandon();
                request.failed(written ? Tally.End.LOST : Tally.End.UNREACHED, 0);
            }
        }

        private void leave() {
            if (!over) {
                settle();
                judge.left(id);
                on.abandon();
                request.end(Tally.End.LEFT);
            }
        }

        /** The connection ended under it. */
        void dropped(Link link, boolean kept) {
            Tracked.Ending how = link instanceof Tracked t ? t.ending() : null;
            boolean balancers =
                    how == null || how == Tracked.Ending.BY_OTHER_SIDE || how == Tracked.Ending.OTHER_SIDE_DIED;
            // Where the network doesn't tell, what ends so soon after the request has crossed it. Seen: at a planned
            // restart
            // the balancer closes what rests, has never seen the request, and was blamed for it.
            boolean crossed = how == null
                    ? zone.time.now() - wroteMicros <= platform.slackMicros()
                    : !taken && how == Tracked.Ending.BY_OTHER_SIDE;
            // Nor does the network tell whether it ran. Seen: a killed balancer had sent an unsafe one on, and it ran
            // twice.
            boolean harmless = how != null || request.kind.effect() != Effect.UNSAFE;
            if (kept && !resent && crossed && harmless && zone.time.now() < gone) {
                resent = true; // it crossed the end of an idle connection: once more on a new one
                start();
                return;
            }
            settle();
            // A connection may also lie unaccepted in the queue of a listener that closes: the process never had it.
            boolean unaccepted = how == null && crossed && (kept || ending[on.balancer]);
            judge.lost(id, written && balancers && !unaccepted);
            request.failed(written ? Tally.End.LOST : Tally.End.UNREACHED, 0);
        }
    }

    /** One connection of the clients' to a balancer: one try at a time. */
    private final class Connection implements LinkEvents {
        private final Zone zone;
        private final int balancer;
        private final RespReader reader = RespReader.ofAnswers();
        private Link link;
        private Try carried;
        private boolean used;
        private String last;
        private boolean over;

        Connection(Zone zone, int balancer) {
            this.zone = zone;
            this.balancer = balancer;
        }

        void carry(Try next) {
            carried = next;
            if (link == null) {
                link = zone.dialer.dial(platform.balancer(balancer), this);
            } else {
                next.write(link, balancer);
            }
        }

        @Override
        public void opened() {
            if (carried != null && !over) {
                carried.write(link, balancer);
            }
        }

        @Override
        public void received(byte[] bytes) {
            if (over) {
                return; // given up already: on sockets an answer may still come in, and is nobody's
            }
            reader.feed(bytes);
            try {
                for (Resp answer = reader.next(); answer != null; answer = reader.next()) {
                    if (carried == null) {
                        surplus(answer);
                        return;
                    }
                    Try done = carried;
                    carried = null;
                    used = true;
                    last = done.id;
                    zone.idle.get(balancer).addLast(this);
                    done.answered(answer);
                }
            } catch (RespException e) {
                over = true;
                link.close();
                if (carried != null) {
                    carried.dropped(link, false);
                }
            }
        }

        /** An answer that nobody asked for: one too many for the last try, and the end of this connection. */
        private void surplus(Resp answer) {
            if (last != null) {
                judge.answered(
                        last, answer instanceof Resp.Bulk ? Judge.AnswerKind.SERVED : Judge.AnswerKind.FAILED, null);
            }
            zone.idle.get(balancer).remove(this);
            over = true;
            link.close();
        }

        void abandon() {
            over = true;
            carried = null;
            link.close();
        }

        @Override
        public void written() {
            if (carried != null && carried.written && !(link instanceof Tracked)) {
                judge.taken(carried.id, balancer);
            }
        }

        @Override
        public void closed() {
            over = true;
            zone.idle.get(balancer).remove(this);
            if (carried != null) {
                Try left = carried;
                carried = null;
                left.dropped(link, used);
            }
        }
    }
}
