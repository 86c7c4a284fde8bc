package baymoor.emulator.sockets;

import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.fabric.Fabric;
import baymoor.emulator.judge.Broken;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Summary;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Fleet;
import baymoor.emulator.world.World;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a scenario on loopback in real time, with balancers as processes and every other component simulated. */
public final class SocketRun {

    private static final Logger LOG = LoggerFactory.getLogger(SocketRun.class);
    private static final long START_SECONDS = 30;
    private static final long POLL_INTERVAL_MICROS = 50_000;
    private static final int MAX_KEPT_VIOLATIONS = 100;

    /**
     * The progress of a run.
     *
     * @param phase   one word
     * @param seconds elapsed time of the scenario
     * @param of      total time of the scenario in seconds
     */
    public record Progress(String phase, double seconds, double of, long asked, long inTime, int broken) {}

    /**
     * @param folder           directory for configurations and logs
     * @param workingDirectory directory in which the command is started
     * @param command          shell command that starts a balancer
     */
    public record Options(long seed, Path folder, Path workingDirectory, String command, Consumer<Progress> progress) {}

    /**
     * The results of a run.
     *
     * @param broken the first violations; further ones are only counted in the summary
     * @param faults counts of injected network faults
     */
    public record Result(Summary summary, List<Broken> broken, Fabric.Counts faults) {}

    private final Scenario scenario;
    private final Options options;
    private final Counters counters = new Counters();
    private final DecisionThread thread;
    private final MinaNet net;
    private final Tally tally = new Tally();
    private final List<Broken> broken = new ArrayList<>();
    private final CountDownLatch finished = new CountDownLatch(1);
    private Judge judge;
    private World world;
    private ProcessFleet fleet;
    private String failure;
    private long startedAt;

    private SocketRun(Scenario scenario, Options options) {
        this.scenario = scenario;
        this.options = options;
        thread = new DecisionThread(counters, line -> {
            failure = line;
            LOG.error(line);
        });
        net = new MinaNet(thread);
    }

    /**
     * Runs a scenario to its end.
     *
     * @throws IOException if a balancer does not start in time or a task of the run fails
     */
    public static Result play(Scenario scenario, Options options) throws IOException, InterruptedException {
        return new SocketRun(scenario, options).play();
    }

    private Result play() throws IOException, InterruptedException {
        Streams streams = new Streams(options.seed());
        SocketPlatform platform = new SocketPlatform(thread, net, scenario, streams);
        judge = new Judge(thread::now, scenario.figures(), platform.slackMicros(), b -> {
            if (broken.size() < MAX_KEPT_VIOLATIONS) {
                broken.add(b);
            }
        });
        new Thread(thread, "world").start();
        try {
            platform.openPeers();
            thread.post(() -> prepare(platform, streams));
            finished.await();
        } finally {
            if (fleet != null) {
                fleet.close();
            }
            thread.stop();
            platform.close();
            net.close();
        }
        if (failure != null) {
            throw new IOException(failure);
        }
        double seconds = (thread.clockMicros() - startedAt) / 1e6;
        return new Result(
                new Summary(scenario.name(), "sockets", options.seed(), "", seconds, seconds, 0, tally, judge.counts()),
                List.copyOf(broken),
                platform.faults());
    }

    private void prepare(SocketPlatform platform, Streams streams) {
        world = new World(
                scenario,
                platform,
                streams,
                judge,
                tally,
                (what, whom) -> LOG.atDebug().addKeyValue("whom", whom).log(what));
        Fleet.Watcher watcher = world.clients();
        fleet = new ProcessFleet(
                scenario,
                platform,
                net,
                thread,
                world,
                judge,
                watcher,
                streams.of("balancers"),
                options.folder(),
                options.workingDirectory(),
                options.command());
        world.open(fleet);
        fleet.startAll();
        startedAt = thread.now();
        awaitReady(thread.now() + TimeUnit.SECONDS.toMicros(START_SECONDS));
    }

    private void reportProgress(String phase, double seconds) {
        double of = (scenario.warmUpMicros() + scenario.durationMicros()) / 1e6;
        options.progress()
                .accept(new Progress(phase, Math.min(of, seconds), of, tally.asked(), tally.inTime(), broken.size()));
    }

    private void awaitReady(long until) {
        if (fleet.allReady()) {
            startedAt = thread.now();
            world.begin();
            poll();
        } else if (thread.now() > until) {
            failure = "balancers not ready within " + START_SECONDS + " s; see the logs in " + options.folder();
            finished.countDown();
        } else {
            reportProgress("starting", 0);
            thread.schedule(POLL_INTERVAL_MICROS, () -> awaitReady(until));
        }
    }

    private void poll() {
        judge.look();
        reportProgress(world.asking() ? "playing" : "ending", (thread.now() - startedAt) / 1e6);
        if (world.over() || failure != null || counters.get(Count.TASK_FAILURES) > 0) {
            finished.countDown();
        } else {
            thread.schedule(POLL_INTERVAL_MICROS, this::poll);
        }
    }
}
