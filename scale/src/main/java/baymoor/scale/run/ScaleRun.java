package baymoor.scale.run;

import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.World;
import baymoor.link.Time;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import baymoor.scale.hollow.Command;
import baymoor.scale.hollow.PlaceNetwork;
import baymoor.scale.hollow.Status;
import baymoor.scale.hollow.Totals;
import baymoor.scale.loop.RunClock;
import baymoor.scale.plan.ScalePlan;
import baymoor.scale.real.RealFleet;
import baymoor.scale.real.RealSample;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays a plan on this machine: starts all processes, plays the script, measures, and ends what it started. */
public final class ScaleRun {

    private static final Logger LOG = LoggerFactory.getLogger(ScaleRun.class);
    private static final int MOST_PER_PROCESS = 80;
    private static final int MEGABYTES_EACH = 5;
    private static final long STEP_MILLIS = 250;
    private static final long START_SECONDS = 90;
    /** A change has to be known this long after discovery had it, also one at the end of the run. */
    private static final long MAX_NOTIFICATION_SECONDS = 6;

    private static final long MICROS = 1_000_000;
    private static final long LOOK_MICROS = 2_000;
    /**
     * @param folder   for configurations and logs
     * @param home     where the serving command is started
     * @param command  that serves, for a shell
     * @param progress hears what is being done
     */
    public record Options(Path folder, Path home, String command, Consumer<String> progress) {}

    private final ScalePlan plan;
    private final Options options;
    private final RunClock clock;
    private final DecisionThread thread;
    private final Time time;
    private final MinaNet net;
    private final Addresses addresses;
    private final MachineWatch machine;
    private final HollowFleet hollow = new HollowFleet();
    private final Recoveries recoveries;
    private final OriginWatch origin;
    private final ListChanges changes = new ListChanges();
    private final List<String> reasons = Collections.synchronizedList(new ArrayList<>());
    private final Scenario tier;
    private final ScalePlatform platform;
    private final World world;
    private final Configurations configurations;
    private final RealFleet real;
    private DatagramRelay relay;
    private boolean closed;

    private ScaleRun(ScalePlan plan, Options options) throws IOException {
        this.plan = plan;
        this.options = options;
        thread = new DecisionThread(new Counters(), line -> reasons.add("the stand-ins failed: " + line));
        clock = new RunClock(plan.slowdown());
        time = new SlowedTime(thread, plan.slowdown());
        net = new MinaNet(thread);
        addresses = new Addresses(plan.balancers().real());
        machine = new MachineWatch(addresses.own());
        recoveries = new Recoveries(hollow, plan.balancers().hollow());
        origin = new OriginWatch(plan.origin().capacity()
                * plan.balancers().hollow()
                / plan.balancers().count());
        Streams streams = new Streams(plan.seed());
        tier = Scenarios.tier(plan);
        Scenario faced = Scenarios.real(plan);
        platform = new ScalePlatform(time, net, plan, faced, addresses, streams);
        Judge judge = new Judge(time::now, faced.figures(), platform.slackMicros(), broken -> {});
        world = new World(
                faced,
                platform,
                streams,
                judge,
                new Tally(),
                (what, whom) -> LOG.atDebug().addKeyValue("whom", whom).log(what));
        configurations = new Configurations(
                plan,
                tier,
                platform,
                world,
                addresses,
                Script.needsRelay(plan),
                streams.of("balancers"),
                options.folder());
        real = new RealFleet(
                plan.balancers().real(),
                new RealRun(),
                new RealFleet.Program(options.command(), options.home(), options.folder()),
                thread,
                time,
                net,
                judge,
                world.clients(),
                reasons::add);
    }

    /** Plays it and ends everything that it started, whatever happens, also where this program is interrupted. */
    public static ScaleResult play(ScalePlan plan, String file, Options options)
            throws IOException, InterruptedException {
        ScaleRun run = new ScaleRun(plan, options);
        Thread hook = new Thread(run::closeQuietly, "end-of-scale-run");
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            return run.play(file);
        } finally {
            run.close();
            removeHook(hook);
        }
    }

    private static void removeHook(Thread hook) {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The program ends already, and the hook does what is left to do.
        }
    }

    private void closeQuietly() {
        try {
            close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void close() throws InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        machine.stop();
        hollow.close();
        real.close();
        if (relay != null) {
            relay.close();
        }
        thread.stop();
        net.close();
    }

    private ScaleResult play(String file) throws IOException, InterruptedException {
        new Thread(thread, "world").start();
        options.progress().accept("opening " + plan.balancers().count() + " balancers' addresses");
        Assignments assignments = new Assignments(plan, tier, configurations, options.folder());
        if (Script.needsRelay(plan)) {
            PlaceNetwork network = new PlaceNetwork(assignments.of(List.of()), plan.seed());
            relay = new DatagramRelay(
                    addresses, plan.balancers().count(), plan.balancers().real(), network, reasons::add);
        }
        onThread(() -> {
            world.open(real);
            for (int balancer = plan.balancers().real();
                    balancer < plan.balancers().count();
                    balancer++) {
                configurations.write(balancer);
            }
            watchVersion();
            real.startAll();
            return null;
        });
        startHollow(assignments);
        awaitReady();
        return measure(file);
    }

    /** What the fleet of real balancers is told of this run. */
    private final class RealRun implements RealFleet.Run {
        @Override
        public Path configure(int balancer) throws IOException {
            return configurations.write(balancer);
        }

        @Override
        public InetSocketAddress clients(int balancer) {
            return addresses.clients(balancer);
        }

        @Override
        public long discoverySent(int balancer) {
            return platform.discoverySent(balancer);
        }
    }

    /** Discovery's version is looked at often enough to say when it changed. */
    private void watchVersion() {
        changes.shown(world.index(0), clock.micros());
        time.schedule(LOOK_MICROS, this::watchVersion);
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

    private void startHollow(Assignments assignments) throws IOException {
        int count = plan.balancers().count();
        for (int first = plan.balancers().real(); first < count; first += MOST_PER_PROCESS) {
            List<Integer> numbers = IntStream.range(first, Math.min(count, first + MOST_PER_PROCESS))
                    .boxed()
                    .toList();
            hollow.start(
                    assignments.of(numbers),
                    options.folder().resolve("hollow-" + first + ".json"),
                    options.folder().resolve("hollow-" + first + ".log"),
                    MEGABYTES_EACH);
        }
        options.progress().accept("starting " + plan.balancers().hollow() + " hollow balancers");
        hollow.order(Command.of(Command.Order.START));
    }

    /** Waits until all real balancers answer, and each hollow one was told a list and has heard all others. */
    private void awaitReady() throws IOException, InterruptedException {
        int count = plan.balancers().hollow();
        boolean alone = plan.balancers().count() == 1;
        long until = clock.micros() + START_SECONDS * MICROS;
        while (true) {
            Status status = hollow.status();
            boolean heard = status.heardAll() == count || alone;
            if (status.listed() == count && heard && real.upCount() == real.count()) {
                return;
            }
            checkAlive();
            if (clock.micros() > until) {
                reasons.add(String.format(
                        "after %d s %d of %d hollow balancers had a list, %d had heard all others, and %d of %d real "
                                + "ones answered",
                        START_SECONDS, status.listed(), count, status.heardAll(), real.upCount(), real.count()));
                return;
            }
            options.progress()
                    .accept(status.listed() + " of " + count + " have a list, " + status.heardAll()
                            + " have heard all others");
            Thread.sleep(STEP_MILLIS);
        }
    }

    private void checkAlive() throws IOException {
        if (hollow.anyEnded()) {
            throw new IOException("a process of hollow balancers ended; see the logs in " + options.folder());
        }
    }

    private ScaleResult measure(String file) throws IOException, InterruptedException {
        options.progress().accept("warming up");
        hollow.order(Command.of(Command.Order.ASK));
        Script script = new Script(
                plan,
                time,
                platform,
                configurations,
                hollow,
                real,
                relay,
                fault -> recoveries.over(fault, clock.micros()),
                reasons::add);
        onThread(() -> {
            world.begin();
            script.begin();
            return null;
        });
        pass(plan.warmUpMicros());
        hollow.order(Command.of(Command.Order.RESET));
        machine.start();
        origin.reset();
        long droppedBefore = machine.drops();
        List<Totals> before = hollow.sample(false);
        List<RealSample> realBefore = real.sample();
        long from = clock.micros();
        recoveries.begin(from);
        options.progress().accept("measuring");
        pass(plan.durationMicros());
        List<Totals> after = hollow.sample(false);
        List<RealSample> realAfter = real.sample();
        MachineWatch.State state = new MachineWatch.State(machine.latenessP99Millis(), machine.drops() - droppedBefore);
        settle();
        Figures figures = new Figures(before, after, hollow.sample(true));
        RealFigures realFigures = new RealFigures(realBefore, realAfter, figures);
        long until = from + plan.durationMicros();
        List<ListChanges.Change> changed = onThread(() ->
                changes.changes(from, until, figures.known(), plan.balancers().hollow()));
        return new ResultBuilder(plan, file, reasons)
                .build(figures, realFigures, origin, state, changed, recoveries.all());
    }

    /** Waits a while until the last change is known everywhere. */
    private void settle() throws IOException, InterruptedException {
        long version = onThread(() -> world.index(0));
        long until = clock.micros() + MAX_NOTIFICATION_SECONDS * MICROS;
        while (hollow.status().version() < version && clock.micros() < until) {
            Thread.sleep(STEP_MILLIS);
        }
    }

    /** Lets time pass, and the drawn origin know how much all ask of it. */
    private void pass(long micros) throws IOException, InterruptedException {
        long until = clock.micros() + micros;
        for (long left = micros; left > 0; left = until - clock.micros()) {
            Thread.sleep(Math.max(1, Math.min(STEP_MILLIS, clock.real(left) / 1000)));
            double load = origin.read(clock.micros() / 1e6, hollow.status().fetches());
            hollow.order(Command.value(Command.Order.ORIGIN_LOAD, load));
            recoveries.look(clock.micros());
            checkAlive();
        }
    }
}
