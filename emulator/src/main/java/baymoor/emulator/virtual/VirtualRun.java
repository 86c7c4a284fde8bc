package baymoor.emulator.virtual;

import baymoor.counters.Invariant;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.engine.Engine;
import baymoor.emulator.judge.Broken;
import baymoor.emulator.judge.Judge;
import baymoor.emulator.judge.Rule;
import baymoor.emulator.report.Summary;
import baymoor.emulator.report.Tally;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.World;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/** Runs a scenario in virtual time until the last answer while the judge checks the rules. */
public final class VirtualRun {

    private static final long CHECK_INTERVAL_MICROS = 100_000;
    private static final int MAX_REPORTED_VIOLATIONS = 100;

    /**
     * Options of a run.
     *
     * @param log receives the lines of the event log; may be null
     * @param keepGoing whether the run continues after a broken rule
     * @param progress receives the elapsed virtual microseconds once per virtual second
     * @param grid events are due at multiples of these microseconds, 1 for no grid
     * @param shuffle seed of the order of events due at the same time, 0 for the order in which they were scheduled
     */
    public record Options(
            long seed, OutputStream log, boolean keepGoing, LongConsumer progress, long grid, long shuffle) {

        public Options(long seed, OutputStream log, boolean keepGoing, LongConsumer progress) {
            this(seed, log, keepGoing, progress, 1, 0);
        }

        /** Returns options with a seed, without a log, which end the run at the first broken rule. */
        public static Options seed(long seed) {
            return new Options(seed, null, false, micros -> {});
        }
    }

    /**
     * The result of a run.
     *
     * @param fingerprint SHA-256 of the event log
     * @param lines number of lines of the event log
     * @param broken the first violations, of a limited number
     * @param counts number of violations by rule
     * @param virtual elapsed virtual microseconds
     * @param events number of events executed by the engine
     */
    public record Result(
            Scenario scenario,
            long seed,
            String fingerprint,
            long lines,
            Tally tally,
            List<Broken> broken,
            Map<Rule, Integer> counts,
            long virtual,
            long events,
            long wallNanos) {

        /** Returns whether no rule was broken. */
        public boolean kept() {
            return broken.isEmpty();
        }

        /** Returns the summary of the run. */
        public Summary summary() {
            return new Summary(
                    scenario.name(),
                    "virtual",
                    seed,
                    fingerprint,
                    virtual / 1e6,
                    wallNanos / 1e9,
                    events,
                    tally,
                    counts);
        }
    }

    private VirtualRun() {}

    /** Runs a scenario in virtual time. */
    public static Result play(Scenario scenario, Options options) {
        return play(scenario, options, FaultInjector.NONE);
    }

    static Result play(Scenario scenario, Options options, FaultInjector faults) {
        long startedNanos = System.nanoTime();
        Engine engine = new Engine(options.grid(), options.shuffle());
        Streams streams = new Streams(options.seed());
        EventLog log = new EventLog(engine, options.log());
        List<Broken> broken = new ArrayList<>();
        Judge judge = new Judge(engine::now, scenario.figures(), 0, b -> {
            if (broken.size() < MAX_REPORTED_VIOLATIONS) {
                broken.add(b);
            }
            log.append("broken", b.rule().name(), b.request().isEmpty() ? "-" : b.request(), 0, 0);
            if (!options.keepGoing()) {
                engine.halt();
            }
        });
        Tally tally = new Tally();
        VirtualNet net = new VirtualNet(engine, scenario, streams, log);
        VirtualPlatform platform = new VirtualPlatform(engine, net);
        World world = new World(
                scenario,
                platform,
                streams,
                judge,
                tally,
                (action, target) -> log.append("act", action, target.isEmpty() ? "-" : target, 0, 0));
        VirtualFleet fleet =
                new VirtualFleet(engine, scenario, net, platform, world, judge, streams, log, world.clients(), faults);
        net.observe(new AttemptObserver(judge, to -> world.hostAt(platform.place(to)), net::balancerNumber));
        world.open(fleet);
        fleet.startAll();
        world.begin();
        long start = engine.now();
        long invariants = Invariant.violations();
        for (long at = start + CHECK_INTERVAL_MICROS; !engine.halted(); at += CHECK_INTERVAL_MICROS) {
            engine.runUntil(at);
            judge.look();
            fleet.checkCounters();
            if (Invariant.violations() > invariants) {
                invariants = Invariant.violations();
                judge.invariant("balancers", "an invariant of the program broke");
            }
            if ((at - start) % 1_000_000 == 0) {
                options.progress().accept(at - start);
            }
            if (world.over()) {
                break;
            }
        }
        return new Result(
                scenario,
                options.seed(),
                log.fingerprint(),
                log.lines(),
                tally,
                broken,
                judge.counts(),
                engine.elapsedMicros(),
                engine.executedEvents(),
                System.nanoTime() - startedNanos);
    }
}
