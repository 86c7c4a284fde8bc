package baymoor.emulator.virtual;

import baymoor.assembly.Assembly;
import baymoor.config.Config;
import baymoor.config.ConfigException;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.engine.Engine;
import baymoor.emulator.engine.VirtualProcess;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.BalancerConfig;
import baymoor.emulator.world.Fleet;
import baymoor.emulator.world.World;
import baymoor.memory.ClientMemory;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the balancers in virtual time: the same {@link Assembly} as the serving program, with a configuration in its format.
 * Called on the thread that runs the engine.
 */
final class VirtualFleet implements Fleet {

    private static final Logger LOG = LoggerFactory.getLogger(VirtualFleet.class);
    /** Equals the limit with a heap of 48 MB; fixed so that a run does not depend on the heap of the emulator. */
    private static final long HEAP_BYTES = 48 << 20;

    private static final int MAX_CLIENT_CONNECTIONS = 512;

    private final Engine engine;
    private final Scenario scenario;
    private final VirtualNet net;
    private final VirtualPlatform platform;
    private final World world;
    private final Judge judge;
    private final EventLog log;
    private final Watcher watcher;
    private final FaultInjector faults;
    private final UniformRandomProvider seeds;
    private final List<Balancer> balancers = new ArrayList<>();

    private final class Balancer {
        final int number;
        final VirtualProcess process;
        Assembly assembly;
        boolean up;
        int incarnation;
        long reportedFailures;

        Balancer(int number) {
            this.number = number;
            String name = "n" + number;
            process = new VirtualProcess(
                    engine,
                    name,
                    number % scenario.zones().size(),
                    false,
                    scenario.balancers().eventMicros(),
                    failure -> judge.invariant(name, failure.toString()));
            net.registerBalancer(process, number);
        }
    }

    VirtualFleet(
            Engine engine,
            Scenario scenario,
            VirtualNet net,
            VirtualPlatform platform,
            World world,
            Judge judge,
            Streams streams,
            EventLog log,
            Watcher watcher,
            FaultInjector faults) {
        this.faults = faults;
        this.engine = engine;
        this.scenario = scenario;
        this.net = net;
        this.platform = platform;
        this.world = world;
        this.judge = judge;
        this.log = log;
        this.watcher = watcher;
        seeds = streams.of("balancers");
        int count = scenario.balancers().count();
        net.addMulticastGroup(
                platform.everyone(),
                IntStream.range(0, count).mapToObj(b -> platform.peer(b, b)).toList());
        for (int b = 0; b < count; b++) {
            balancers.add(new Balancer(b));
        }
    }

    /** Starts all balancers at the same time. */
    void startAll() {
        balancers.forEach(this::start);
    }

    private void start(Balancer b) {
        String json = BalancerConfig.json(scenario, platform, world, b.number, seeds.nextLong());
        b.process.restart();
        world.starts(b.number);
        try {
            Assembly assembly = new Assembly(
                    Config.parse(json, Map.of()),
                    new Assembly.Environment(
                            b.process,
                            faults.wrapDialer(b.process, net.dialer(b.process)),
                            (to, content) -> net.send(b.process, platform.peer(b.number, b.number), to, content),
                            millis -> millis * 1000,
                            new ClientMemory(HEAP_BYTES, MAX_CLIENT_CONNECTIONS),
                            new Counters(),
                            line -> LOG.atDebug()
                                    .addKeyValue("instance", b.process.name())
                                    .addKeyValue("at_us", engine.elapsedMicros())
                                    .log(line)));
            b.assembly = assembly;
            b.reportedFailures = 0;
            net.bindDatagrams(platform.peer(b.number, b.number), b.process, assembly::datagramReceived);
            b.process.post(() -> assembly.start(() -> serve(b, assembly)));
        } catch (ConfigException e) {
            throw new IllegalStateException("generated balancer configuration is invalid: " + e.getMessage(), e);
        }
        log.append("start", b.process.name(), "-", b.incarnation, 0);
    }

    private void serve(Balancer b, Assembly assembly) {
        net.listen(
                platform.balancer(b.number),
                b.process,
                (link, from) -> assembly.clientConnected(faults.wrapClientLink(b.process, link)));
        b.up = true;
        watcher.ready(b.number);
    }

    private void scheduleStart(Balancer b, long micros) {
        int incarnation = ++b.incarnation;
        engine.after(micros, () -> {
            if (incarnation == b.incarnation) {
                start(b);
            }
        });
    }

    private void terminate(Balancer b, boolean silently) {
        checkCounters(b);
        log.append("end", b.process.name(), "-", b.incarnation, 0);
        b.up = false;
        b.assembly = null;
        b.process.terminate();
        net.processDied(b.process, silently);
        watcher.ended(b.number);
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
    public void restart(int balancer, boolean planned) {
        Balancer b = balancers.get(balancer);
        if (!b.up) {
            return;
        }
        if (!planned) {
            kill(balancer, scenario.balancers().startMicros(), false);
            return;
        }
        b.up = false;
        log.append("term", b.process.name(), "-", b.incarnation, 0);
        Assembly ending = b.assembly;
        b.process.post(() -> ending.drain(() -> net.stopListening(platform.balancer(balancer)), () -> {
            // Requests left unanswered by a planned restart are not excused by the judge.
            terminate(b, false);
            scheduleStart(b, scenario.balancers().startMicros());
        }));
    }

    @Override
    public void kill(int balancer, long forMicros, boolean silently) {
        Balancer b = balancers.get(balancer);
        judge.died(balancer);
        if (b.assembly != null) {
            terminate(b, silently);
        }
        scheduleStart(b, Math.max(forMicros, scenario.balancers().startMicros()));
    }

    @Override
    public void stall(int balancer, long forMicros) {
        Balancer b = balancers.get(balancer);
        judge.stalled(balancer, engine.now() + forMicros);
        b.process.stall(forMicros);
    }

    /** Reports failures counted by the balancers themselves to the judge. */
    void checkCounters() {
        balancers.forEach(this::checkCounters);
    }

    private void checkCounters(Balancer b) {
        if (b.assembly == null) {
            return;
        }
        Counters counters = b.assembly.counters();
        long failures =
                counters.get(Count.DECISION_FAILURES) + counters.get(Count.TASK_FAILURES) + counters.get(Count.OVERDUE);
        if (failures > b.reportedFailures) {
            judge.invariant(
                    b.process.name(),
                    "decision failures " + counters.get(Count.DECISION_FAILURES)
                            + ", task failures " + counters.get(Count.TASK_FAILURES) + ", overdue "
                            + counters.get(Count.OVERDUE));
            b.reportedFailures = failures;
        }
    }
}
