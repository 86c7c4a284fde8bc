package baymoor.emulator.virtual;

import baymoor.emulator.chance.Streams;
import baymoor.emulator.engine.Engine;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.RouterLoad;

/** Runs a load test of a single router in virtual time. */
public final class VirtualRouter {

    private static final long STEP_MICROS = 1_000_000;

    private VirtualRouter() {}

    /** Runs the load test to its end and returns its results. */
    public static RouterLoad play(Scenario scenario, long seed, double load) {
        Engine engine = new Engine();
        Streams streams = new Streams(seed);
        VirtualNet net = new VirtualNet(engine, scenario, streams, new EventLog(engine, null));
        RouterLoad run = new RouterLoad(scenario, new VirtualPlatform(engine, net), streams, load, engine::halt);
        run.begin();
        while (!engine.halted() && engine.queuedEvents() > 0) {
            engine.runUntil(engine.now() + STEP_MICROS);
        }
        return run;
    }
}
