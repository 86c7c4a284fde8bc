package baymoor.scale.loop;

/**
 * The clock of all processes of a run. It may go slower than the machine's, so that a machine can carry more balancers than it
 * could in real time: what they do in a second of this clock, and the processor time of it, stay the same.
 */
public final class RunClock {

    private final int slowdown;

    /** @param slowdown real seconds to one of this clock's */
    public RunClock(int slowdown) {
        this.slowdown = slowdown;
    }

    /** Microseconds since a moment that is the same for all processes of this machine. */
    public long micros() {
        return System.nanoTime() / 1000 / slowdown;
    }

    /** Real microseconds in so many of this clock's. */
    public long real(long micros) {
        return micros * slowdown;
    }

    /** Real seconds to one of this clock's. */
    public int slowdown() {
        return slowdown;
    }
}
