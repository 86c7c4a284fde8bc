package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.Expired;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.emulator.scenario.Scenario.RouterKind;
import baymoor.emulator.scenario.Scenario.Spoil;
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
 * A cache router as a state machine: it is fed the bytes of its connections and time, and knows no socket. It does what
 * real servers surprise with: a cancel or a time-out stops no work that runs and drops none that waits, a request whose
 * time is up may or may not be begun, an error may have run, and answers may be spoilt on their way out.
 */
public final class Router {

    private static final long RETUNE_MICROS = 100_000;
    private static final long SWEEP_MICROS = 1_000_000;
    private static final long LEASE_MICROS = 500_000;
    private static final int MOST_FETCHING = 10_000;
    private static final int NOISE = 48;
    /** Of the budget before a cold router falls over: chance alone must not do it. */
    private static final double CHANCE_SLACK = 1.1;

    private static final byte[] BUSY = RespWriter.error("BUSY");
    private static final byte[] FAILED = RespWriter.error("ERR failed");
    private static final byte[] NOTHING = RespWriter.ascii("$-1\r\n");

    /** What a router is at present. */
    public enum State {
        UP,
        DRAINING,
        DOWN
    }

    private record Pressure(long at, double work, boolean told) {}

    private final String name;
    private final int zone;
    private final RouterKind kind;
    private final Scenario.Figures figures;
    private final Time time;
    private final UniformRandomProvider chance;
    private final Catalogue catalogue;
    private final Fills fills;
    private final Judge judge;
    private final Arrivals arrivals;
    private final Tally tally;
    private final Consumer<Router> fell;
    private final double speed;
    private final Station station;
    private final ObjectCache cache;
    private final LoadGauge gauge;
    private final Map<String, Long> fetching = new LinkedHashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final ArrayDeque<Pressure> pressure = new ArrayDeque<>();
    private State state = State.DOWN;
    private long since;
    private long coldUntil;
    private long coldFor;
    private double doneAtStart;
    private double pressed;
    private double pressedTold;
    private double slowness = 1;
    private boolean paused;
    private int hung;
    private int life;
    private Spoil spoil;
    private double spoilShare;

    /** @param fell hears that it fell over under too much work while cold */
    Router(
            String name,
            int zone,
            RouterKind kind,
            Scenario.Figures figures,
            Time time,
            UniformRandomProvider chance,
            Catalogue catalogue,
            Fills fills,
            Judge judge,
            Arrivals arrivals,
            Tally tally,
            Consumer<Router> fell) {
        this.arrivals = arrivals;
        this.name = name;
        this.zone = zone;
        this.kind = kind;
        this.figures = figures;
        this.time = time;
        this.chance = chance;
        this.catalogue = catalogue;
        this.fills = fills;
        this.judge = judge;
        this.tally = tally;
        this.fell = fell;
        speed = kind.speed() * Math.max(0.2, 1 + kind.speedSpread() * Draw.normal(chance));
        station = new Station(
                time,
                kind.cores(),
                kind.slots() * kind.cores(),
                kind.room() * kind.cores(),
                speed,
                kind.thrash(),
                kind.crowd());
        gauge = new LoadGauge(kind.slots() * kind.cores());
        cache = new ObjectCache(kind.memory(), kind.ttlMicros());
    }

    /** Its name, as the inventory lists it. */
    public String name() {
        return name;
    }

    /** The number of the zone that it stands in. */
    public int zone() {
        return zone;
    }

    /** Its kind: the figures that it shares with others. */
    public RouterKind kind() {
        return kind;
    }

    /** Whether it is up, draining or down. */
    public State state() {
        return state;
    }

    /** When it last started, 0 for long ago. */
    public long since() {
        return since;
    }

    /** Its size as it is registered: what its cores can do. */
    public double size() {
        return kind.cores() * kind.speed();
    }

    /** Work a microsecond that it can do at its best when warm. */
    public double capacity() {
        return kind.cores() * speed;
    }

    int inWork() {
        return station.inWork();
    }

    int waiting() {
        return station.waiting();
    }

    /** Its process is up. {@code sinceMicros} 0: it has run for long and is warm; else it starts cold and empty. */
    public void start(long sinceMicros) {
        life++;
        state = State.UP;
        since = sinceMicros;
        if (sinceMicros > 0) {
            cache.clear();
            coldFor = Draw.within(chance, kind.coldMicros());
            coldUntil = time.now() + coldFor;
            doneAtStart = station.done();
        }
        retune(life);
        pauseLater(life);
        sweep(life);
    }

    /** Its process is gone, with all that it held. Whoever listens for it stops. */
    public void stop() {
        life++;
        state = State.DOWN;
        coldUntil = 0;
        since = 0;
        paused = false;
        station.clear();
        cache.clear();
        fetching.clear();
        pressure.clear();
        pressed = 0;
        pressedTold = 0;
        for (Connection c : List.copyOf(connections)) {
            c.link.close();
        }
        connections.clear();
    }

    /** It finishes what it has and turns away all that is new. */
    public void drain() {
        state = State.DRAINING;
    }

    /** It takes new requests again. */
    public void undrain() {
        state = State.UP;
    }

    /** From now on its work takes so many times as long; 1 for its usual speed. */
    public void slow(double times) {
        slowness = times;
        tune();
    }

    /** It takes connections and requests and does nothing, or goes on. */
    public void hang(boolean on) {
        hung += on ? 1 : -1;
        tune();
    }

    /** From now on so large a share of its answers is spoilt; null for none. */
    public void spoil(Spoil how, double share) {
        spoil = how;
        spoilShare = share;
    }

    void pause(long micros) {
        int born = life;
        paused = true;
        tune();
        time.after(micros, () -> {
            if (born == life) {
                paused = false;
                tune();
            }
        });
    }

    private void pauseLater(int born) {
        if (kind.pause().most() == 0) {
            return;
        }
        time.after(Draw.within(chance, kind.pauseEvery()), () -> {
            if (born == life) {
                pause(Draw.within(chance, kind.pause()));
                pauseLater(born);
            }
        });
    }

    /** The share of its capacity that it has at present. */
    public double warmth() {
        if (coldUntil <= time.now() && !kind.warmsByWork() || coldFor == 0) {
            return 1;
        }
        double part = 1 - (double) (coldUntil - time.now()) / coldFor;
        if (kind.warmsByWork()) {
            double needed = capacity() * coldFor / 2;
            part = Math.max(part, (station.done() - doneAtStart) / needed);
        }
        return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * Math.max(0, part));
    }

    /** Whether it has started lately and does not have its full capacity yet. */
    public boolean cold() {
        return state != State.DOWN && since > 0 && warmth() < 1;
    }

    private void retune(int born) {
        if (born == life) {
            tune();
            if (warmth() < 1) {
                time.after(RETUNE_MICROS, () -> retune(born));
            }
        }
    }

    private void tune() {
        station.factor(paused || hung > 0 ? 0 : warmth() / slowness);
    }

    /** An object that was fetched for it. */
    void store(String key, long size) {
        if (state != State.DOWN) {
            fetching.remove(key);
            cache.keep(key, size, time.now());
        }
    }

    void voided(String key) {
        cache.drop(key);
    }

    /** So large a share of the kept copies goes void. */
    void flush(double share) {
        cache.drop(share, chance);
    }

    private void sweep(int born) {
        time.after(SWEEP_MICROS, () -> {
            if (born == life) {
                for (Connection c : List.copyOf(connections)) {
                    if (c.row.isEmpty() && time.now() - c.used > kind.idleMicros()) {
                        c.link.close();
                        connections.remove(c);
                    }
                }
                sweep(born);
            }
        });
    }

    /** A connection has come in; null where it holds as many as it can, or is down. */
    LinkEvents accept(Link link, int balancer) {
        if (state == State.DOWN || connections.size() >= kind.connections()) {
            return null;
        }
        Connection c = new Connection(link, balancer);
        connections.add(c);
        return c;
    }

    /** Work reached it while cold. Beyond its budget it falls over, and stays down. */
    private void press(int balancer, double work) {
        if (!cold()) {
            return;
        }
        long now = time.now();
        boolean told = judge.knowsStart(balancer, name, since);
        pressure.add(new Pressure(now, work, told));
        pressed += work;
        pressedTold += told ? work : 0;
        while (now - pressure.peek().at > figures.tipMicros()) {
            Pressure old = pressure.poll();
            pressed -= old.work;
            pressedTold -= old.told ? old.work : 0;
        }
        double budget = figures.tipMultiple() * capacity() * warmth() * figures.tipMicros() * CHANCE_SLACK;
        if (pressed > budget) {
            judge.tipped(name, pressedTold / pressed);
            stop();
            fell.accept(this);
        }
    }

    /** An answer that is due on a connection, in the order of its requests. */
    private static final class Due {
        final String id;
        byte[] answer;
        boolean unrun;

        Due(String id) {
            this.id = id;
        }
    }

    private final class Connection extends Conversation {
        private final Link link;
        private final int balancer;
        private final RespReader reader = RespReader.ofCommands();
        private final Deque<Due> row = new ArrayDeque<>();
        private final int born = life;
        private final long number = arrivals.connection();
        private boolean fresh = true;
        private boolean over;
        private long used = time.now();

        Connection(Link link, int balancer) {
            this.link = link;
            this.balancer = balancer;
        }

        @Override
        public void received(byte[] bytes) {
            if (over || born != life) {
                return;
            }
            used = time.now();
            reader.feed(bytes);
            try {
                for (Resp command = reader.next(); command != null && born == life; command = reader.next()) {
                    take(((Resp.Many) command)
                            .items().stream().map(w -> ((Resp.Bulk) w).bytes()).toList());
                }
            } catch (RespException e) {
                link.close(); // what can't be read can't be answered
                closed();
            }
        }

        private void take(List<byte[]> words) {
            String command = text(words.get(0));
            boolean read = command.equals("OBJ.GET") && words.size() == 4;
            if (read || command.equals("OBJ.SET") && words.size() == 5) {
                request(text(words.get(1)), text(words.get(2)), text(words.get(3)), read);
                return;
            }
            Due due = new Due(null);
            row.add(due);
            switch (command) {
                case "PING" -> {
                    tally.probed();
                    answer(due, RespWriter.simple("PONG"));
                }
                case "CLIENT", "SELECT" -> answer(due, RespWriter.simple("OK"));
                case "INFO" -> {
                    boolean told = figures.reports() != Scenario.Reports.OFF;
                    tally.probed();
                    answer(
                            due,
                            told
                                    ? RespWriter.bulk(RespWriter.ascii(gauge.read(time.now(), station)))
                                    : RespWriter.error("NOPERM"));
                }
                case "OBJ.GET", "OBJ.SET" -> answer(due, RespWriter.error("SYNTAX"));
                default -> answer(due, RespWriter.error("ERR unknown command"));
            }
        }

        private static String text(byte[] word) {
            return new String(word, StandardCharsets.US_ASCII);
        }

        private void request(String key, String id, String facts, boolean read) {
            arrivals.came(id, balancer, name, number);
            Due due = new Due(id);
            row.add(due);
            RequestClass requestClass = catalogue.kind(String.valueOf(Facts.get(facts, "c")));
            long wait = Facts.number(facts, "d", 0) * 1000;
            if (requestClass == null || wait <= 0) {
                answer(due, RespWriter.error("SYNTAX"));
                return;
            }
            long named;
            try {
                named = Long.parseUnsignedLong(key, 16);
            } catch (NumberFormatException e) {
                answer(due, RespWriter.error("SYNTAX"));
                return;
            }
            Catalogue.KeyProfile profile = catalogue.profile(named);
            boolean hit = read && cache.hit(key, time.now());
            double work = (hit ? catalogue.work(requestClass, profile) : kind.missMicros())
                    + (fresh ? kind.handshakeMicros() : 0);
            fresh = false;
            if (read) {
                fills.read();
            }
            press(balancer, work);
            if (born != life) {
                return; // that was too much
            }
            Work job = new Work(this, due, key, id, profile, read, work, time.now() + wait);
            if (state == State.DRAINING || !station.offer(job)) {
                turnAway(due);
            }
        }

        private void turnAway(Due due) {
            tally.turnedAway();
            due.unrun = true;
            answer(due, BUSY);
        }

        private void answer(Due due, byte[] answer) {
            due.answer = answer;
            while (!over && !row.isEmpty() && row.peek().answer != null) {
                write(row.poll());
            }
        }

        private void write(Due due) {
            used = time.now();
            if (due.id != null && spoil != null && Draw.chance(chance, spoilShare)) {
                spoilt(due);
                return;
            }
            if (due.id != null) {
                judge.hostAnswered(due.id, name, due.unrun);
            }
            link.write(due.answer);
        }

        private void spoilt(Due due) {
            switch (spoil) {
                case GARBLE -> {
                    byte[] noise = new byte[NOISE];
                    chance.nextBytes(noise);
                    link.write(noise);
                }
                case CUT_SHORT -> link.write(java.util.Arrays.copyOf(due.answer, Math.max(1, due.answer.length / 2)));
                case DOUBLE -> {
                    judge.hostAnswered(due.id, name, due.unrun);
                    ByteArrayOutputStream twice = new ByteArrayOutputStream();
                    twice.writeBytes(due.answer);
                    twice.writeBytes(due.answer);
                    link.write(twice.toByteArray());
                }
                case RESET -> {
                    link.close();
                    closed();
                }
                case ERROR -> {
                    judge.hostAnswered(due.id, name, false);
                    link.write(FAILED);
                }
                default -> {} // SILENT: nothing is written
            }
        }

        @Override
        public void closed() {
            over = true;
            connections.remove(this);
            arrivals.closed(number);
        }
    }

    /** One request in the waiting room or in work. Its connection may be gone; it goes on all the same. */
    private final class Work implements Station.Job {
        private final Connection from;
        private final Due due;
        private final String key;
        private final String id;
        private final Catalogue.KeyProfile profile;
        private final boolean read;
        private final double work;
        private final long until;
        private boolean hit;

        Work(
                Connection from,
                Due due,
                String key,
                String id,
                Catalogue.KeyProfile profile,
                boolean read,
                double work,
                long until) {
            this.from = from;
            this.due = due;
            this.key = key;
            this.id = id;
            this.profile = profile;
            this.read = read;
            this.work = work;
            this.until = until;
        }

        @Override
        public double begin() {
            boolean expired = time.now() > until;
            if (expired
                    && (kind.expired() == Expired.DROP || kind.expired() == Expired.EITHER && chance.nextBoolean())) {
                from.turnAway(due);
                return -1;
            }
            hit = read && cache.hit(key, time.now());
            return hit ? work : Math.min(work, kind.missMicros() + kind.handshakeMicros());
        }

        @Override
        public void done() {
            if (from.born != life) {
                return;
            }
            if (from.over) {
                tally.wasted();
            }
            if (!hit) {
                miss();
                return;
            }
            tally.hit();
            judge.ran(id, name);
            if (Draw.chance(chance, kind.errorRate())) {
                from.answer(due, FAILED);
                return;
            }
            byte[] value = Values.value(key, id, profile.size());
            judge.made(id, value);
            from.answer(due, answer(RespWriter.bulk(value), "hit"));
        }

        private void miss() {
            long now = time.now();
            boolean pending = fetching.getOrDefault(key, 0L) > now;
            if (read) {
                tally.missed();
                fetching.put(key, now + LEASE_MICROS);
                if (fetching.size() > MOST_FETCHING) {
                    fetching.remove(fetching.keySet().iterator().next());
                }
                fills.missed(id, Router.this, cold());
            }
            due.unrun = true;
            from.answer(due, answer(NOTHING, pending ? "pending" : "miss"));
        }

        private byte[] answer(byte[] value, String how) {
            ByteArrayOutputStream out = new ByteArrayOutputStream(value.length + 96);
            out.writeBytes(RespWriter.ascii("*3\r\n"));
            out.writeBytes(value);
            out.writeBytes(RespWriter.bulk(RespWriter.ascii(how)));
            out.writeBytes(
                    figures.reports() == Scenario.Reports.INLINE
                            ? RespWriter.bulk(RespWriter.ascii(gauge.read(time.now(), station)))
                            : NOTHING);
            return out.toByteArray();
        }
    }

    /** An object that was popular before the run. */
    record Popular(String key, long size) {}

    /** Fills its cache with what was popular before the run, the most popular first in the list. */
    void prefill(List<Popular> popular) {
        for (int i = popular.size() - 1; i >= 0; i--) {
            cache.keep(popular.get(i).key, popular.get(i).size, time.now());
        }
    }
}
