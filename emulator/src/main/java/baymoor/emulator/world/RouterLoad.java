package baymoor.emulator.world;

import baymoor.emulator.chance.Draw;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.resp.Resp;
import baymoor.resp.RespException;
import baymoor.resp.RespReader;
import baymoor.resp.RespWriter;
import java.util.ArrayDeque;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One router alone under open-loop load, without a balancer: what its latencies are at a share of its capacity. It runs
 * on any platform, so that the same router can be measured in virtual time and on loopback.
 */
public final class RouterLoad {

    private static final int KEYS = 200;
    private static final long MOST_MICROS = 60_000_000;
    private static final int DIGITS = 4;
    private static final int WARM_UP_PART = 10;

    private final Platform platform;
    private final Scenario scenario;
    private final Time time;
    private final Catalogue catalogue;
    private final UniformRandomProvider chance;
    private final Router router;
    private final Histogram latencies = new Histogram(MOST_MICROS, DIGITS);
    private final ArrayDeque<Caller> idle = new ArrayDeque<>();
    private final double rate;
    private final Runnable over;
    private long from;
    private long until;
    private long due;
    private boolean askedAll;
    private int open;
    private boolean ended;
    private long failed;

    /** @param load share of the router's capacity that is asked for */
    public RouterLoad(Scenario scenario, Platform platform, Streams streams, double load, Runnable over) {
        this.scenario = scenario;
        this.platform = platform;
        this.over = over;
        time = platform.time("clients-load", 0);
        catalogue = new Catalogue(scenario, scenario.seed());
        chance = streams.of("load");
        Time routersTime = platform.time("s-0", 0);
        Fills fills = new Fills(routersTime, 0, 0, key -> {});
        Judge judge = new Judge(time::now, scenario.figures(), 0, b -> {});
        router = new Router(
                "s-0",
                0,
                scenario.routers().get(0),
                scenario.figures(),
                routersTime,
                streams.of("s-0"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                new Tally(),
                r -> {});
        RequestClass kind = scenario.classes().get(0);
        double work = 0;
        for (int rank = 0; rank < KEYS; rank++) {
            work += catalogue.work(kind, catalogue.profile(catalogue.key(rank, 0))) / KEYS;
        }
        rate = load * router.capacity() / work;
    }

    /** Starts; on the thread of the platform's time. */
    public void begin() {
        router.start(0);
        router.prefill(IntStream.range(0, KEYS)
                .mapToLong(r -> catalogue.key(r, 0))
                .mapToObj(k -> new Router.Popular(
                        Catalogue.name(k), catalogue.profile(k).size()))
                .toList());
        platform.listen(0, "s-0", 0, router::accept);
        from = time.now() + scenario.durationMicros() / WARM_UP_PART;
        until = time.now() + scenario.durationMicros();
        due = time.now();
        next();
    }

    private void next() {
        // From arrival to arrival as drawn, not from when the timer ran: or each delay of a timer would thin the load.
        due += Math.max(1, (long) Math.ceil(Draw.exponential(chance) / rate));
        time.after(due - time.now(), () -> {
            if (due < until) {
                open++;
                Caller caller = idle.isEmpty() ? new Caller() : idle.pollLast();
                caller.ask(catalogue.key(chance.nextInt(KEYS), 0), Catalogue.name(chance.nextLong()));
                next();
            } else {
                askedAll = true;
                if (open == 0) {
                    end();
                }
            }
        });
    }

    private void end() {
        if (!ended) {
            ended = true;
            platform.stopListening(0, false);
            over.run();
        }
    }

    /** Latencies of the answered requests in microseconds. */
    public Histogram latencies() {
        return latencies;
    }

    /** Requests that were turned away or broken off. */
    public long failed() {
        return failed;
    }

    private final class Caller implements LinkEvents {
        private final RespReader reader = RespReader.ofAnswers();
        private Link link;
        private byte[] command;
        private long asked;
        private boolean up;

        void ask(long key, String id) {
            asked = due;
            RequestClass kind = scenario.classes().get(0);
            command = RespWriter.command(
                    RespWriter.ascii("OBJ.GET"),
                    RespWriter.ascii(Catalogue.name(key)),
                    RespWriter.ascii(id),
                    RespWriter.ascii("c=" + kind.name() + ",t=load,d=" + kind.giveUpMicros() / 1000));
            if (link == null) {
                link = platform.clients(0).dial(platform.address(0, 0), this);
            } else {
                link.write(command);
            }
        }

        @Override
        public void opened() {
            up = true;
            link.write(command);
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                Resp answer = reader.next();
                if (answer != null) {
                    idle.addLast(this);
                    done(answer instanceof Resp.Many);
                }
            } catch (RespException e) {
                link.close();
            }
        }

        private void done(boolean served) {
            open--;
            failed += served ? 0 : 1;
            if (asked >= from && served) {
                latencies.recordValue(Math.min(MOST_MICROS, time.now() - asked));
            }
            if (open == 0 && askedAll) {
                end();
            }
        }

        @Override
        public void written() {
            // The answer tells.
        }

        @Override
        public void closed() {
            if (!idle.remove(this) || !up) {
                done(false);
            }
        }
    }
}
