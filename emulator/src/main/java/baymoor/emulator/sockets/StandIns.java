package baymoor.emulator.sockets;

import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.report.Summary;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Fleet;
import baymoor.emulator.world.World;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Simulates hosts, discovery and clients on loopback for balancers that are started externally from generated files. */
public final class StandIns implements Closeable {

    private static final Logger LOG = LoggerFactory.getLogger(StandIns.class);
    private static final long POLL_INTERVAL_MICROS = 50_000;

    private final Scenario scenario;
    private final long seed;
    private final Counters counters = new Counters();
    private final DecisionThread thread = new DecisionThread(counters, LOG::error);
    private final MinaNet net = new MinaNet(thread);
    private final Tally tally = new Tally();
    private final CountDownLatch finished = new CountDownLatch(1);
    private final List<Path> configurations = new ArrayList<>();
    private SocketPlatform platform;
    private Judge judge;
    private World world;
    private long startedAt;

    private StandIns(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
    }

    /** @param load whether to run the scenario's clients and script once all balancers answer */
    public static StandIns start(Scenario scenario, long seed, Path folder, boolean load)
            throws IOException, InterruptedException {
        StandIns standIns = new StandIns(scenario, seed);
        standIns.open(folder, load);
        return standIns;
    }

    private void open(Path folder, boolean load) throws IOException, InterruptedException {
        Streams streams = new Streams(seed);
        platform = new SocketPlatform(thread, net, scenario, streams);
        judge = new Judge(
                thread::now,
                scenario.figures(),
                platform.slackMicros(),
                b -> LOG.atError().addKeyValue("rule", b.rule()).log(b.text()));
        new Thread(thread, "world").start();
        CompletableFuture<Void> opened = new CompletableFuture<>();
        thread.post(() -> {
            try {
                prepare(streams, folder, load);
                opened.complete(null);
            } catch (IOException | UncheckedIOException e) {
                opened.completeExceptionally(e);
            }
        });
        try {
            opened.get();
        } catch (ExecutionException e) {
            close();
            throw new IOException(e.getCause().getMessage(), e.getCause());
        }
    }

    private void prepare(Streams streams, Path folder, boolean load) throws IOException {
        platform.openPeers();
        world = new World(
                scenario,
                platform,
                streams,
                judge,
                tally,
                (what, whom) -> LOG.atInfo().addKeyValue("whom", whom).log(what));
        ExternalFleet fleet = new ExternalFleet(scenario.balancers().count());
        world.open(fleet);
        UniformRandomProvider seeds = streams.of("balancers");
        for (int b = 0; b < fleet.count(); b++) {
            configurations.add(Configurations.write(scenario, platform, world, seeds.nextLong(), b, folder));
        }
        if (load) {
            for (int b = 0; b < fleet.count(); b++) {
                int number = b;
                ReadinessProbe.pingUntilAnswered(
                        net, thread, platform.balancer(b), () -> finished.getCount() > 0, () -> {
                            fleet.ready[number] = true;
                            world.clients().ready(number);
                            if (fleet.allReady()) {
                                startedAt = thread.now();
                                world.begin();
                                poll();
                            }
                        });
            }
        }
    }

    private void poll() {
        judge.look();
        if (world.over()) {
            finished.countDown();
        } else {
            thread.schedule(POLL_INTERVAL_MICROS, this::poll);
        }
    }

    /** Returns the generated configuration files, ordered by balancer number. */
    public List<Path> configurations() {
        return List.copyOf(configurations);
    }

    /** Waits until the load ends, at most the given number of seconds. */
    public void await(long seconds) throws InterruptedException {
        if (!finished.await(seconds, TimeUnit.SECONDS)) {
            LOG.warn("stopped waiting before the load ended");
        }
    }

    /** Returns the results of the load so far. */
    public Summary summary() {
        double seconds = startedAt == 0 ? 0 : (thread.clockMicros() - startedAt) / 1e6;
        return new Summary(scenario.name(), "sockets", seed, "", seconds, seconds, 0, tally, judge.counts());
    }

    @Override
    public void close() {
        finished.countDown();
        thread.stop();
        platform.close();
        net.close();
    }

    /** Balancers managed externally; the script's actions on them are ignored. */
    private static final class ExternalFleet implements Fleet {
        private final boolean[] ready;

        ExternalFleet(int count) {
            ready = new boolean[count];
        }

        boolean allReady() {
            boolean all = true;
            for (boolean balancerReady : ready) {
                all &= balancerReady;
            }
            return all;
        }

        @Override
        public int count() {
            return ready.length;
        }

        @Override
        public boolean up(int balancer) {
            return ready[balancer];
        }

        private static void logIgnored(int balancer) {
            LOG.atWarn()
                    .addKeyValue("instance", "n" + balancer)
                    .log("balancer is managed externally; ignoring restart, kill or stall");
        }

        @Override
        public void restart(int balancer, boolean planned) {
            logIgnored(balancer);
        }

        @Override
        public void kill(int balancer, long forMicros, boolean silently) {
            logIgnored(balancer);
        }

        @Override
        public void stall(int balancer, long forMicros) {
            logIgnored(balancer);
        }
    }
}
