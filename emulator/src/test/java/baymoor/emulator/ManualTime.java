package baymoor.emulator;

import baymoor.emulator.engine.Engine;
import baymoor.link.Time;

/** A clock that a test advances, based on the emulator's event engine. */
public final class ManualTime implements Time {

    private final Engine engine = new Engine();

    @Override
    public long now() {
        return engine.now();
    }

    @Override
    public Timer schedule(long micros, Runnable task) {
        return engine.after(micros, task)::cancel;
    }

    public void pass(long micros) {
        engine.runUntil(engine.now() + micros);
    }
}
