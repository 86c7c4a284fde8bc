package baymoor.emulator.sockets;

import baymoor.emulator.judge.Judge;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.Fleet;
import baymoor.emulator.world.World;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs each balancer as a process of the built program, against simulated hosts on loopback. Its methods run on the
 * decision thread, except {@link #close}.
 */
public final class ProcessFleet implements Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(ProcessFleet.class);
    private static final long TERMINATION_TIMEOUT_SECONDS = 5;

    private final Scenario scenario;
    private final SocketPlatform platform;
    private final MinaNet net;
    private final DecisionThread thread;
    private final World world;
    private final Judge judge;
    private final Watcher watcher;
    private final UniformRandomProvider seeds;
    private final Path folder;
    private final Path workingDirectory;
    private final String command;
    private final List<Balancer> balancers = new ArrayList<>();
    private volatile boolean closing;

    private static final class Balancer {
        final int number;
        volatile Process process;
        boolean ready;
        boolean exitExpected;

        Balancer(int number) {
            this.number = number;
        }
    }

    /**
     * @param folder           directory for configurations and logs
     * @param workingDirectory directory in which the command is started
     * @param command          shell command that starts a balancer
     */
    public ProcessFleet(
            Scenario scenario,
            SocketPlatform platform,
            MinaNet net,
            DecisionThread thread,
            World world,
            Judge judge,
            Watcher watcher,
            UniformRandomProvider seeds,
            Path folder,
            Path workingDirectory,
            String command) {
        this.scenario = scenario;
        this.platform = platform;
        this.net = net;
        this.thread = thread;
        this.world = world;
        this.judge = judge;
        this.watcher = watcher;
        this.seeds = seeds;
        this.folder = folder;
        this.workingDirectory = workingDirectory;
        this.command = command;
        IntStream.range(0, scenario.balancers().count()).forEach(b -> balancers.add(new Balancer(b)));
    }

    /** Starts all balancers. Must be called on the decision thread. */
    public void startAll() {
        balancers.forEach(this::start);
    }

    private void start(Balancer b) {
        if (closing) {
            return;
        }
        world.starts(b.number);
        try {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command).directory(workingDirectory.toFile());
            builder.environment()
                    .put(
                            "ROUTER_CONFIG",
                            Configurations.write(scenario, platform, world, seeds.nextLong(), b.number, folder)
                                    .toAbsolutePath()
                                    .toString());
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .redirectError(ProcessBuilder.Redirect.appendTo(
                            folder.resolve("n" + b.number + ".log").toFile()));
            Process process = builder.start();
            b.process = process;
            b.exitExpected = false;
            process.onExit().thenRun(() -> thread.post(() -> handleExit(b, process)));
        } catch (IOException e) {
            judge.invariant("n" + b.number, "process cannot be started: " + e.getMessage());
            return;
        }
        awaitReady(b, b.process);
    }

    private void handleExit(Balancer b, Process process) {
        if (b.process != process || closing) {
            return;
        }
        if (!b.exitExpected) {
            judge.invariant("n" + b.number, "process exited unexpectedly with code " + process.exitValue());
        }
        b.ready = false;
        watcher.ended(b.number);
    }

    private void awaitReady(Balancer b, Process process) {
        ReadinessProbe.pingUntilAnswered(
                net,
                thread,
                platform.balancer(b.number),
                () -> b.process == process && process.isAlive() && !closing,
                () -> {
                    if (b.process == process && !b.exitExpected) {
                        b.ready = true;
                        LOG.atDebug().addKeyValue("instance", "n" + b.number).log("ready");
                        watcher.ready(b.number);
                    }
                });
    }

    /** Returns whether all balancers are running and answer. */
    public boolean allReady() {
        return balancers.stream().allMatch(b -> b.ready);
    }

    @Override
    public int count() {
        return balancers.size();
    }

    @Override
    public boolean up(int balancer) {
        return balancers.get(balancer).ready;
    }

    @Override
    public void restart(int balancer, boolean planned) {
        Balancer b = balancers.get(balancer);
        if (!planned) {
            kill(balancer, 0, false);
            return;
        }
        b.ready = false;
        b.exitExpected = true;
        watcher.ending(balancer);
        Process process = b.process;
        process.toHandle().destroy();
        process.onExit().thenRun(() -> thread.post(() -> start(b)));
    }

    @Override
    public void kill(int balancer, long forMicros, boolean silently) {
        Balancer b = balancers.get(balancer);
        judge.died(balancer);
        b.ready = false;
        b.exitExpected = true;
        Process process = b.process;
        process.destroyForcibly();
        process.onExit().thenRun(() -> thread.post(() -> thread.schedule(forMicros, () -> start(b))));
    }

    @Override
    public void stall(int balancer, long forMicros) {
        Process process = balancers.get(balancer).process;
        judge.stalled(balancer, thread.now() + forMicros);
        sendSignal(process, "-STOP");
        thread.schedule(forMicros, () -> sendSignal(process, "-CONT"));
    }

    private void sendSignal(Process process, String signal) {
        try {
            new ProcessBuilder("/bin/kill", signal, Long.toString(process.pid())).start();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("signal", signal).log("signal cannot be sent: {}", e.getMessage());
        }
    }

    /** Stops all balancers, with SIGTERM first and SIGKILL after a timeout, and waits until they have exited. */
    public void close() throws InterruptedException {
        closing = true;
        for (Balancer b : balancers) {
            if (b.process != null) {
                b.process.toHandle().destroy();
            }
        }
        for (Balancer b : balancers) {
            if (b.process != null && !b.process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                b.process.destroyForcibly().waitFor();
            }
        }
    }
}
