package baymoor.counters;

import java.util.concurrent.atomic.AtomicLong;

/** Checks of internal invariants: a violation is counted, and fails an assertion where assertions are enabled. Thread-safe. */
public final class Invariant {

    private static final AtomicLong VIOLATIONS = new AtomicLong();

    private Invariant() {}

    /**
     * Checks an invariant.
     *
     * @param holds   the condition
     * @param message describes the violation
     * @return {@code holds}, so that the caller can handle a violation where assertions are disabled
     */
    public static boolean check(boolean holds, String message) {
        if (!holds) {
            VIOLATIONS.incrementAndGet();
            assert false : message;
        }
        return holds;
    }

    /** Returns the number of violations since the start of the process. */
    public static long violations() {
        return VIOLATIONS.get();
    }
}
