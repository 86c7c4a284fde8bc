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
 * Measures the latencies of a single router under open-loop load at a given utilization, without a balancer. It runs on
 * any platform, so that virtual time and loopback sockets can be compared. Not thread-safe: all calls come from the
 * platform's event thread, except that results may be read once {@code onEnd} has been called.
 */
public final class RouterLoad {

    private static final int KEY_COUNT = 200;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 4;
    private static final int WARM_UP_DIVISOR = 10;

    private final Platform platform;
    private final Scenario scenario;
    private final Time time;
    private final WorkloadModel catalogue;
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

    /**
     * @param load  offered load as a share of the router's capacity
     * @param onEnd called once, when all requests are finished
     */
    public RouterLoad(Scenario scenario, Platform platform, Streams streams, double load, Runnable onEnd) {
        this.scenario = scenario;
        this.platform = platform;
        this.onEnd = onEnd;
        time = platform.time("clients-load", 0);
        catalogue = new WorkloadModel(scenario, scenario.seed());
        random = streams.of("load");
        Time routerTime = platform.time("s-0", 0);
        CacheFiller fills = new CacheFiller(routerTime, 0, 0, key -> {});
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

    /** Starts the router and the load; called on the platform's event thread. */
    public void begin() {
        router.start(0);
        router.prefill(IntStream.range(0, KEY_COUNT)
                .mapToLong(r -> catalogue.key(r, 0))
                .mapToObj(k -> new Router.PrefilledObject(
                        WorkloadModel.name(k), catalogue.profile(k).size()))
                .toList());
        platform.listen(0, "s-0", 0, router::accept);
        recordFrom = time.now() + scenario.durationMicros() / WARM_UP_DIVISOR;
        loadEndsAt = time.now() + scenario.durationMicros();
        nextArrivalAt = time.now();
        scheduleNext();
    }

    private void scheduleNext() {
        // Based on the previous arrival time, not on the current time, so that late timers don't reduce the load.
        nextArrivalAt += Math.max(1, (long) Math.ceil(Draw.exponential(random) / rate));
        time.schedule(nextArrivalAt - time.now(), () -> {
            if (nextArrivalAt < loadEndsAt) {
                openRequests++;
                LoadClient client = idleClients.isEmpty() ? new LoadClient() : idleClients.pollLast();
                client.send(catalogue.key(random.nextInt(KEY_COUNT), 0), WorkloadModel.name(random.nextLong()));
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

    /** Returns the latencies of successful requests after the warm-up, in microseconds. */
    public Histogram latencies() {
        return latencies;
    }

    /** Returns the number of requests that were rejected, failed or lost with their connection. */
    public long failed() {
        return failed;
    }

    /** A client connection with at most one open request. */
    private final class LoadClient implements LinkEvents {
        private final RespReader reader = RespReader.ofReplies();
        private Link link;
        private byte[] command;
        private long arrivedAt;
        private boolean connected;

        void send(long key, String id) {
            arrivedAt = nextArrivalAt;
            RequestClass requestClass = scenario.classes().get(0);
            command = RespWriter.command(
                    RespWriter.utf8("OBJ.GET"),
                    RespWriter.utf8(WorkloadModel.name(key)),
                    RespWriter.utf8(id),
                    RespWriter.utf8("c=" + requestClass.name() + ",t=load,d=" + requestClass.giveUpMicros() / 1000));
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
                    finish(answer instanceof Resp.Array);
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
            // Completion is signalled by the answer.
        }

        @Override
        public void closed() {
            if (!idleClients.remove(this) || !connected) {
                finish(false);
            }
        }
    }
}
