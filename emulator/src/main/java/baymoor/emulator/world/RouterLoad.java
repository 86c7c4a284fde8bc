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

    private static final int KEY_COUNT = 200;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 4;
    private static final int WARM_UP_DIVISOR = 10;

    private final Platform platform;
    private final Scenario scenario;
    private final Time time;
    private final Catalogue catalogue;
    private final UniformRandomProvider random;
    private final Router router;
    private final Histogram latencies = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final ArrayDeque<LoadClient> idleClients = new ArrayDeque<>();
    private final double rate;
    private final Runnable onEnd;
    private long recordFrom;
    private long loadEndsAt;
    private long nextArrivalAt;
    private boolean allSent;
    private int openRequests;
    private boolean ended;
    private long failed;

    /** @param load share of the router's capacity that is asked for */
    public RouterLoad(Scenario scenario, Platform platform, Streams streams, double load, Runnable onEnd) {
        this.scenario = scenario;
        this.platform = platform;
        this.onEnd = onEnd;
        time = platform.time("clients-load", 0);
        catalogue = new Catalogue(scenario, scenario.seed());
        random = streams.of("load");
        Time routerTime = platform.time("s-0", 0);
        Fills fills = new Fills(routerTime, 0, 0, key -> {});
        Judge judge = new Judge(time::now, scenario.figures(), 0, b -> {});
        router = new Router(
                "s-0",
                0,
                scenario.routers().get(0),
                scenario.figures(),
                routerTime,
                streams.of("s-0"),
                catalogue,
                fills,
                judge,
                new Arrivals(judge, false),
                new Tally(),
                r -> {});
        RequestClass requestClass = scenario.classes().get(0);
        double meanWork = 0;
        for (int rank = 0; rank < KEY_COUNT; rank++) {
            meanWork += catalogue.work(requestClass, catalogue.profile(catalogue.key(rank, 0))) / KEY_COUNT;
        }
        rate = load * router.capacity() / meanWork;
    }

    /** Starts; on the thread of the platform's time. */
    public void begin() {
        router.start(0);
        router.prefill(IntStream.range(0, KEY_COUNT)
                .mapToLong(r -> catalogue.key(r, 0))
                .mapToObj(k -> new Router.PrefilledObject(
                        Catalogue.name(k), catalogue.profile(k).size()))
                .toList());
        platform.listen(0, "s-0", 0, router::accept);
        recordFrom = time.now() + scenario.durationMicros() / WARM_UP_DIVISOR;
        loadEndsAt = time.now() + scenario.durationMicros();
        nextArrivalAt = time.now();
        scheduleNext();
    }

    private void scheduleNext() {
        // From arrival to arrival as drawn, not from when the timer ran: or each delay of a timer would thin the load.
        nextArrivalAt += Math.max(1, (long) Math.ceil(Draw.exponential(random) / rate));
        time.after(nextArrivalAt - time.now(), () -> {
            if (nextArrivalAt < loadEndsAt) {
                openRequests++;
                LoadClient client = idleClients.isEmpty() ? new LoadClient() : idleClients.pollLast();
                client.send(catalogue.key(random.nextInt(KEY_COUNT), 0), Catalogue.name(random.nextLong()));
                scheduleNext();
            } else {
                allSent = true;
                if (openRequests == 0) {
                    end();
                }
            }
        });
    }

    private void end() {
        if (!ended) {
            ended = true;
            platform.stopListening(0, false);
            onEnd.run();
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

    private final class LoadClient implements LinkEvents {
        private final RespReader reader = RespReader.ofAnswers();
        private Link link;
        private byte[] command;
        private long arrivedAt;
        private boolean connected;

        void send(long key, String id) {
            arrivedAt = nextArrivalAt;
            RequestClass requestClass = scenario.classes().get(0);
            command = RespWriter.command(
                    RespWriter.ascii("OBJ.GET"),
                    RespWriter.ascii(Catalogue.name(key)),
                    RespWriter.ascii(id),
                    RespWriter.ascii("c=" + requestClass.name() + ",t=load,d=" + requestClass.giveUpMicros() / 1000));
            if (link == null) {
                link = platform.clients(0).dial(platform.address(0, 0), this);
            } else {
                link.write(command);
            }
        }

        @Override
        public void opened() {
            connected = true;
            link.write(command);
        }

        @Override
        public void received(byte[] bytes) {
            reader.feed(bytes);
            try {
                Resp answer = reader.next();
                if (answer != null) {
                    idleClients.addLast(this);
                    finish(answer instanceof Resp.Many);
                }
            } catch (RespException e) {
                link.close();
            }
        }

        private void finish(boolean served) {
            openRequests--;
            failed += served ? 0 : 1;
            if (arrivedAt >= recordFrom && served) {
                latencies.recordValue(Math.min(MAX_LATENCY_MICROS, time.now() - arrivedAt));
            }
            if (openRequests == 0 && allSent) {
                end();
            }
        }

        @Override
        public void written() {
            // The answer tells.
        }

        @Override
        public void closed() {
            if (!idleClients.remove(this) || !connected) {
                finish(false);
            }
        }
    }
}
