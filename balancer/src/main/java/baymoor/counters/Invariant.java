package baymoor.counters;

import java.util.concurrent.atomic.AtomicLong;

/** What must hold: asserted where assertions are on, counted where they are off. */
public final class Invariant {

    private static final AtomicLong BROKEN = new AtomicLong();

    private Invariant() {}

    /** Gives {@code holds} back, so that the caller can go on safely in a release. */
    public static boolean check(boolean holds, String what) {
        if (!holds) {
            BROKEN.incrementAndGet();
            assert false : what;
        }
        return holds;
    }

    /** How many checks have failed since the start. */
    public static long broken() {
        return BROKEN.get();
    }
}
