package baymoor.south;

import merlinstep.Decisions.Outcome;

/**
 * The end of an attempt or a probe.
 *
 * @param value    the value read or the receipt of a write, null without one
 * @param note     1 for a cache hit, 2 for a miss, 3 for a miss on a key that is being fetched, 0 if unknown
 * @param report   the host's load report, in the order of the settings; empty without one
 * @param reusable whether the connection may carry another attempt
 */
public record Reply(Outcome outcome, byte[] value, int note, double[] report, boolean reusable) {

    private static final double[] NO_REPORT = new double[0];

    /** Returns the reply of an attempt that ended without a usable answer. */
    static Reply withoutAnswer(Outcome outcome) {
        return new Reply(outcome, null, 0, NO_REPORT, false);
    }
}
