package baymoor.scale.real;

import baymoor.emulator.judge.Judge;
import baymoor.emulator.world.Fleet;
import baymoor.link.Time;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The real balancers: processes of the serving program, started as the platform does. All but its end is on the world's thread. */
public final class RealFleet implements Fleet {

    /** What a fleet is told of the run. */
    public interface Run {
        /** Writes the configuration of a balancer that starts now, and gives its file. */
        Path configure(int balancer) throws IOException;

        /** Where a balancer takes clients. */
        InetSocketAddress clients(int balancer);

        /** Bytes that discovery has sent to a balancer so far. */
        long discoverySent(int balancer);
    }

    /** @param command that serves, for a shell, from the folder {@code home}; logs go to {@code logs} */
    public record Program(String command, Path home, Path logs) {}

    private static final Logger LOG = LoggerFactory.getLogger(RealFleet.class);
    private static final long AGAIN_MICROS = 50_000;
    private static final long KILL_AFTER_SECONDS = 5;
    private static final long ANSWER_SECONDS = 20;

    private final Run run;
    private final Program program;
    private final DecisionThread thread;
    private final Time time;
    private final MinaNet net;
    private final Judge judge;
    private final Fleet.Watcher watcher;
    private final Consumer<String> failed;
    private final List<Balancer> balancers = new ArrayList<>();
    private final Guard guard;
    private volatile boolean ending;

    private static final class Balancer {
        private final int number;
        private volatile Process process;
        private volatile boolean up;
        private boolean expected;

        Balancer(int number) {
            this.number = number;
        }
    }

    /** @param failed hears of a balancer that can't be started or ended by itself */
    public RealFleet(
            int count,
            Run run,
            Program program,
            DecisionThread thread,
            Time time,
            MinaNet net,
            Judge judge,
            Fleet.Watcher watcher,
            Consumer<String> failed)
            throws IOException {
        this.run = run;
        this.program = program;
        this.thread = thread;
        this.time = time;
        this.net = net;
        this.judge = judge;
        this.watcher = watcher;
        this.failed = failed;
        guard = count > 0 ? new Guard() : null;
        IntStream.range(0, count).forEach(number -> balancers.add(new Balancer(number)));
    }

    /** Starts all of them. */
    public void startAll() {
        balancers.forEach(this::start);
    }

    private void start(Balancer balancer) {
        if (ending) {
            return;
        }
        try {
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", program.command())
                    .directory(program.home().toFile());
            builder.environment()
                    .put("ROUTER_CONFIG", run.configure(balancer.number).toString());
            builder.redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .redirectError(ProcessBuilder.Redirect.appendTo(program.logs()
                            .resolve("n" + balancer.number + ".log")
                            .toFile()));
            Process process = builder.start();
            guard.add(process.pid());
            balancer.process = process;
            balancer.expected = false;
            process.onExit().thenRun(() -> thread.post(() -> ended(balancer, process)));
            awaitAnswer(balancer, process);
        } catch (IOException e) {
            failed.accept("balancer " + balancer.number + " can't be started: " + e.getMessage());
        }
    }

    private void ended(Balancer balancer, Process process) {
        if (ending) {
            return;
        }
        try {
            guard.remove(process.pid());
        } catch (IOException e) {
            LOG.atWarn().log("the guard is gone: {}", e.getMessage());
        }
        if (balancer.process != process) {
            return;
        }
        if (!balancer.expected) {
            failed.accept("balancer " + balancer.number + " ended by itself with " + process.exitValue());
        }
        balancer.up = false;
        watcher.ended(balancer.number);
    }

    private void awaitAnswer(Balancer balancer, Process process) {
        if (balancer.process != process || !process.isAlive() || ending) {
            return;
        }
        Query.ask(net, run.clients(balancer.number), "PING", answer -> {
            if ("PONG".equals(answer) && balancer.process == process && !balancer.expected) {
                balancer.up = true;
                watcher.ready(balancer.number);
            } else {
                time.schedule(AGAIN_MICROS, () -> awaitAnswer(balancer, process));
            }
        });
    }

    /** How many of them run and answer. */
    public int upCount() {
        return (int) balancers.stream().filter(balancer -> balancer.up).count();
    }

    @Override
    public int count() {
        return balancers.size();
    }

    @Override
    public boolean up(int balancer) {
        return balancers.get(balancer).up;
    }

    @Override
    public void restart(int number, boolean planned) {
        if (!planned) {
            kill(number, 0, false);
            return;
        }
        Balancer balancer = balancers.get(number);
        balancer.up = false;
        balancer.expected = true;
        watcher.ending(number);
        Process process = balancer.process;
        process.toHandle().destroy();
        process.onExit().thenRun(() -> thread.post(() -> start(balancer)));
    }

    @Override
    public void kill(int number, long forMicros, boolean silently) {
        Balancer balancer = balancers.get(number);
        judge.died(number);
        balancer.up = false;
        balancer.expected = true;
        Process process = balancer.process;
        process.destroyForcibly();
        process.onExit().thenRun(() -> thread.post(() -> time.schedule(forMicros, () -> start(balancer))));
    }

    @Override
    public void stall(int balancer, long forMicros) {
        throw new UnsupportedOperationException("no act of a plan stalls a balancer");
    }

    /** What each of them came to so far. Not on the world's thread. */
    public List<RealSample> sample() throws IOException, InterruptedException {
        List<CompletableFuture<RealSample>> asked = new ArrayList<>();
        for (Balancer balancer : balancers) {
            CompletableFuture<RealSample> answer = new CompletableFuture<>();
            asked.add(answer);
            thread.post(() -> Query.ask(
                    net, run.clients(balancer.number), "INFO", info -> answer.complete(sample(balancer, info))));
        }
        List<RealSample> samples = new ArrayList<>();
        for (CompletableFuture<RealSample> answer : asked) {
            try {
                samples.add(answer.get(ANSWER_SECONDS, TimeUnit.SECONDS));
            } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
                throw new IOException("a real balancer doesn't answer", e);
            }
        }
        return samples;
    }

    private RealSample sample(Balancer balancer, String info) {
        ProcessReading reading = ProcessReading.of(balancer.process.pid());
        return new RealSample(
                balancer.number,
                balancer.process.pid(),
                System.nanoTime(),
                reading.cpu(),
                reading.memoryBytes(),
                counter(info, "requests"),
                counter(info, "peer_heard"),
                counter(info, "peer_sent"),
                run.discoverySent(balancer.number));
    }

    private static long counter(String info, String name) {
        return info == null
                ? 0
                : info.lines()
                        .filter(line -> line.startsWith(name + ":"))
                        .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                        .findFirst()
                        .orElse(0);
    }

    /** The processes that run. */
    public List<Long> pids() {
        return balancers.stream()
                .filter(balancer -> balancer.process != null)
                .map(balancer -> balancer.process.pid())
                .toList();
    }

    /** Ends all of them, by SIGTERM first, and waits until they are gone. On any thread. */
    public void close() throws InterruptedException {
        ending = true;
        IntFunction<Process> process = i -> balancers.get(i).process;
        for (int i = 0; i < balancers.size(); i++) {
            if (process.apply(i) != null) {
                process.apply(i).toHandle().destroy();
            }
        }
        for (int i = 0; i < balancers.size(); i++) {
            if (process.apply(i) != null && !process.apply(i).waitFor(KILL_AFTER_SECONDS, TimeUnit.SECONDS)) {
                process.apply(i).destroyForcibly().waitFor();
            }
        }
        if (guard != null) {
            guard.close();
        }
    }
}
