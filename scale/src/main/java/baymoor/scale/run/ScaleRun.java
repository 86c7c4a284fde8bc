package baymoor.scale.run;

import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.BalancerConfig;
import baymoor.emulator.world.Fleet;
import baymoor.emulator.world.World;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import baymoor.scale.hollow.Assignment;
import baymoor.scale.hollow.Command;
import baymoor.scale.hollow.Status;
import baymoor.scale.hollow.Totals;
import baymoor.scale.plan.Places;
import baymoor.scale.plan.ScalePlan;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays a plan on this machine: starts all processes, plays the script, measures, and ends what it started. */
public final class ScaleRun {

    private static final Logger LOG = LoggerFactory.getLogger(ScaleRun.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_PER_PROCESS = 80;
    private static final int PER_LOOP = 40;
    private static final int MEGABYTES_EACH = 5;
    private static final long STEP_MILLIS = 250;
    private static final long START_SECONDS = 90;
    private static final long SETTLE_SECONDS = 5;
    private static final long LOOK_MICROS = 2_000;
    /** A subperiod of the split: whoever is so late deals out credits on other figures than it would have. */
    private static final double MOST_LATENESS_MILLIS = 50;
    /** Of all datagrams: more, and ages would tell of the kernel's buffers. */
    private static final double MOST_DROPPED = 1e-4;

    /**
     * @param folder   for configurations and logs
     * @param home     where the serving command is started
     * @param command  that serves, for a shell
     * @param progress hears what is being done
     */
    public record Options(Path folder, Path home, String command, Consumer<String> progress) {}

    private final ScalePlan plan;
    private final Options options;
    private final DecisionThread thread;
    private final MinaNet net;
    private final Addresses addresses;
    private final MachineWatch machine;
    private final HollowFleet hollow = new HollowFleet();
    private final OriginWatch origin;
    private final ListChanges changes = new ListChanges();
    private final List<String> reasons = new ArrayList<>();
    private final Scenario tier;
    private final ScalePlatform platform;
    private final World world;
    private final UniformRandomProvider seeds;

    private ScaleRun(ScalePlan plan, Options options) throws IOException {
        this.plan = plan;
        this.options = options;
        thread = new DecisionThread(new Counters(), line -> reasons.add("the stand-ins failed: " + line));
        net = new MinaNet(thread);
        addresses = new Addresses(plan.balancers().real());
        machine = new MachineWatch(addresses.own());
        origin = new OriginWatch(plan.origin().capacity()
                * plan.balancers().hollow()
                / plan.balancers().count());
        Streams streams = new Streams(plan.seed());
        tier = Scenarios.tier(plan);
        Scenario real = Scenarios.real(plan);
        platform = new ScalePlatform(thread, net, plan, real, addresses, streams);
        Judge judge = new Judge(thread::now, real.figures(), platform.slackMicros(), broken -> {});
        world = new World(
                real,
                platform,
                streams,
                judge,
                new Tally(),
                (what, whom) -> LOG.atDebug().addKeyValue("whom", whom).log(what));
        seeds = streams.of("balancers");
    }

    /** Plays it and ends everything that it started, whatever happens. */
    public static ScaleResult play(ScalePlan plan, String file, Options options)
            throws IOException, InterruptedException {
        ScaleRun run = new ScaleRun(plan, options);
        try {
            return run.play(file);
        } finally {
            run.close();
        }
    }

    private void close() throws InterruptedException {
        machine.stop();
        hollow.close();
        thread.stop();
        net.close();
    }

    private ScaleResult play(String file) throws IOException, InterruptedException {
        new Thread(thread, "world").start();
        options.progress().accept("opening " + plan.balancers().count() + " balancers' addresses");
        onThread(() -> {
            world.open(new NoFleet());
            for (int balancer = 0; balancer < plan.balancers().count(); balancer++) {
                world.starts(balancer);
                write(balancer);
            }
            watchVersion();
            return null;
        });
        startHollow();
        awaitReady();
        return measure(file);
    }

    /** Discovery's version is looked at often enough to say when it changed. */
    private void watchVersion() {
        changes.shown(world.index(0), System.nanoTime() / 1000);
        thread.after(LOOK_MICROS, this::watchVersion);
    }

    private <T> T onThread(Callable<T> task) throws IOException, InterruptedException {
        FutureTask<T> future = new FutureTask<>(task);
        thread.post(future);
        try {
            return future.get();
        } catch (ExecutionException e) {
            Throwable cause = e.getCause() instanceof UncheckedIOException u ? u.getCause() : e.getCause();
            throw new IOException(cause.getMessage(), cause);
        }
    }

    /** Writes the configuration of a balancer as it should start now. */
    private void write(int balancer) throws IOException {
        String text = BalancerConfig.json(tier, platform, world, balancer, seeds.nextLong());
        ObjectNode config = (ObjectNode) JSON.readTree(text);
        ArrayNode peers = config.putArray("peers");
        for (int other = 0; other < plan.balancers().count(); other++) {
            peers.add(Addresses.text(addresses.peers(other)));
        }
        Files.writeString(options.folder().resolve("n" + balancer + ".json"), config + "\n");
    }

    private void startHollow() throws IOException {
        int real = plan.balancers().real();
        int count = plan.balancers().count();
        for (int first = real; first < count; first += MOST_PER_PROCESS) {
            List<Integer> numbers = IntStream.range(first, Math.min(count, first + MOST_PER_PROCESS))
                    .boxed()
                    .toList();
            hollow.start(
                    assignment(numbers),
                    options.folder().resolve("hollow-" + first + ".json"),
                    options.folder().resolve("hollow-" + first + ".log"),
                    MEGABYTES_EACH);
        }
        options.progress().accept("starting " + plan.balancers().hollow() + " hollow balancers");
        hollow.order(Command.of(Command.Order.START));
    }

    private Assignment assignment(List<Integer> numbers) {
        Places places = plan.places();
        int count = plan.balancers().count();
        ScalePlan.Network ways = plan.network();
        return new Assignment(
                options.folder().toString(),
                plan.seed(),
                numbers,
                count,
                plan.balancers().real(),
                IntStream.range(0, count)
                        .mapToObj(balancer -> Addresses.text(addresses.peers(balancer)))
                        .toList(),
                PER_LOOP,
                IntStream.range(0, count).mapToObj(places::zoneOf).toList(),
                IntStream.range(0, count).mapToObj(places::siteOf).toList(),
                places.zones().stream().map(Places.Zone::region).toList(),
                new Assignment.Ways(
                        List.of(ways.sameSite().least(), ways.sameSite().most()),
                        List.of(ways.sameZone().least(), ways.sameZone().most()),
                        List.of(ways.sameRegion().least(), ways.sameRegion().most()),
                        List.of(
                                ways.betweenRegions().least(),
                                ways.betweenRegions().most()),
                        ways.loss()),
                drawn());
    }

    private Assignment.Drawn drawn() {
        ScalePlan.Traffic traffic = plan.traffic();
        return new Assignment.Drawn(
                traffic.perBalancer(),
                traffic.keys(),
                traffic.exponent(),
                traffic.valueBytes(),
                List.of(
                        plan.routers().latency().least(),
                        plan.routers().latency().most()),
                plan.routers().miss(),
                plan.origin().capacity(),
                List.of(plan.origin().latency().least(), plan.origin().latency().most()),
                tier.classes().stream()
                        .map(kind -> new Assignment.RequestKind(
                                kind.name(),
                                kind.share(),
                                kind.write(),
                                kind.giveUpMicros(),
                                kind.work().middle()))
                        .toList(),
                tier.tenants().get(0).name());
    }

    /** Waits until each hollow balancer was told a list and has heard all others. */
    private void awaitReady() throws IOException, InterruptedException {
        long until = System.nanoTime() + START_SECONDS * 1_000_000_000L;
        while (true) {
            Status status = hollow.status();
            int count = plan.balancers().hollow();
            if (status.listed() == count
                    && (status.heardAll() == count || plan.balancers().count() == 1)) {
                return;
            }
            if (hollow.anyEnded()) {
                throw new IOException("a process of hollow balancers ended; see the logs in " + options.folder());
            }
            if (System.nanoTime() > until) {
                reasons.add(String.format(
                        "after %d s %d of %d balancers had a list and %d had heard all others",
                        START_SECONDS, status.listed(), count, status.heardAll()));
                return;
            }
            options.progress()
                    .accept(status.listed() + " of " + count + " have a list, " + status.heardAll()
                            + " have heard all others");
            Thread.sleep(STEP_MILLIS);
        }
    }

    private ScaleResult measure(String file) throws IOException, InterruptedException {
        options.progress().accept("warming up");
        hollow.order(Command.of(Command.Order.ASK));
        onThread(() -> {
            world.begin();
            return null;
        });
        pass(plan.warmUpMicros());
        hollow.order(Command.of(Command.Order.RESET));
        machine.start();
        machine.reset();
        origin.reset();
        long droppedBefore = machine.drops();
        List<Totals> before = hollow.sample(false);
        long from = System.nanoTime() / 1000;
        options.progress().accept("measuring");
        pass(plan.durationMicros());
        List<Totals> after = hollow.sample(false);
        long dropped = machine.drops() - droppedBefore;
        double lateness = machine.latenessP99Millis();
        settle();
        return result(file, new Figures(before, after, hollow.sample(true)), from, dropped, lateness);
    }

    /** Waits a while until the last change is known everywhere. */
    private void settle() throws IOException, InterruptedException {
        long version = onThread(() -> world.index(0));
        long until = System.nanoTime() + SETTLE_SECONDS * 1_000_000_000L;
        while (hollow.status().version() < version && System.nanoTime() < until) {
            Thread.sleep(STEP_MILLIS);
        }
    }

    /** Lets time pass, and the drawn origin know how much all ask of it. */
    private void pass(long micros) throws IOException, InterruptedException {
        long until = System.nanoTime() + micros * 1000;
        while (System.nanoTime() < until) {
            Thread.sleep(Math.max(1, Math.min(STEP_MILLIS, (until - System.nanoTime()) / 1_000_000)));
            double load = origin.read(System.nanoTime() / 1e9, hollow.status().fetches());
            hollow.order(Command.value(Command.Order.ORIGIN_LOAD, load));
            if (hollow.anyEnded()) {
                throw new IOException("a process of hollow balancers ended; see the logs in " + options.folder());
            }
        }
    }

    private ScaleResult result(String file, Figures figures, long from, long dropped, double late)
            throws IOException, InterruptedException {
        double lateness = Math.max(late, figures.latenessP99Millis());
        double datagrams = figures.grown(Totals::messagesOut);
        if (lateness > MOST_LATENESS_MILLIS) {
            reasons.add(String.format("the machine was the limit: threads ran %.0f ms late (p99)", lateness));
        }
        if (dropped > datagrams * MOST_DROPPED) {
            reasons.add("the machine was the limit: the kernel dropped " + dropped + " datagrams");
        }
        long failures = (long) figures.grown(Totals::failures);
        if (failures > 0) {
            reasons.add(failures + " tasks or decisions failed");
        }
        Map<String, Double> mean = figures.hollow();
        mean.put("overIssue", origin.overIssue());
        mean.put("use", origin.use());
        mean.put("loadSpread", figures.loadSpread(plan.routers().count()));
        long until = from + plan.durationMicros();
        List<Map<String, Double>> changed =
                onThread(() -> changes.changes(
                                from, until, figures.known(), plan.balancers().hollow()))
                        .stream()
                        .map(ScaleRun::fields)
                        .toList();
        return new ScaleResult(
                file,
                plan.seed(),
                reasons.isEmpty(),
                List.copyOf(reasons),
                new ScaleResult.Machine(Runtime.getRuntime().availableProcessors(), lateness, dropped),
                size(figures, changed.size()),
                mean,
                List.of(),
                changed,
                notes(figures));
    }

    private static Map<String, Double> fields(ListChanges.Change change) {
        Map<String, Double> fields = new LinkedHashMap<>();
        fields.put("atSeconds", change.atSeconds());
        fields.put("known50Ms", change.known50Ms());
        fields.put("known99Ms", change.known99Ms());
        fields.put("known100Ms", change.known100Ms());
        return fields;
    }

    private ScaleResult.Size size(Figures figures, int changed) {
        double requests = figures.grown(Totals::requests) / figures.seconds();
        return new ScaleResult.Size(
                plan.balancers().count(),
                plan.balancers().hollow(),
                plan.balancers().real(),
                plan.routers().count(),
                plan.places().siteCount(),
                plan.places().zones().size(),
                plan.places().regions().size(),
                requests,
                plan.traffic().keys(),
                changed / figures.seconds(),
                figures.seconds());
    }

    private Map<String, Double> notes(Figures figures) {
        Map<String, Double> notes = new LinkedHashMap<>();
        notes.put("requests", figures.grown(Totals::requests));
        notes.put("answers", figures.grown(Totals::answers));
        notes.put("refusals", figures.grown(Totals::refusals));
        notes.put("fetches", figures.grown(Totals::fetches));
        notes.put("unsentDatagrams", figures.grown(Totals::unsent));
        return notes;
    }

    /** No real balancers: nobody is up. */
    private static final class NoFleet implements Fleet {
        @Override
        public int count() {
            return 0;
        }

        @Override
        public boolean up(int balancer) {
            return false;
        }

        @Override
        public void restart(int balancer, boolean planned) {}

        @Override
        public void kill(int balancer, long forMicros, boolean silently) {}

        @Override
        public void stall(int balancer, long forMicros) {}
    }
}
