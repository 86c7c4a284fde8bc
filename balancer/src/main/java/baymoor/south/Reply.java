package baymoor.south;

import merlinstep.Decisions.Outcome;

/**
 * How an attempt ended. {@code note}: 1 hit, 2 miss, 3 miss while being fetched, 0 not told. {@code reusable}: the
 * connection may carry the next attempt.
 */
public record Reply(Outcome outcome, byte[] value, int note, double[] report, boolean reusable) {

    private static final double[] NONE = new double[0];

    /** An end that no answer told of. */
    static Reply without(Outcome outcome) {
        return new Reply(outcome, null, 0, NONE, false);
    }
}
