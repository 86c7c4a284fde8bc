package baymoor.counters;

import java.util.concurrent.atomic.AtomicLong;

/** What must hold: asserted where assertions are on, counted where they are off. */
public final class Invariant {

    private static final AtomicLong VIOLATIONS = new AtomicLong();

    private Invariant() {}

    /** Gives {@code holds} back, so that the caller can go on safely in a release. */
    public static boolean check(boolean holds, String message) {
        if (!holds) {
            VIOLATIONS.incrementAndGet();
            assert false : message;
        }
        return holds;
    }

    /** How many checks have failed since the start. */
    public static long broken() {
        return VIOLATIONS.get();
    }
}
