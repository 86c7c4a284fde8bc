package baymoor.emulator.judge;

/** Invariants that a run must not violate under any fault. */
public enum Rule {
    /** A running balancer gives exactly one final answer to each request that it has accepted. */
    ONE_ANSWER,
    /** The final answer arrives before the client's deadline. */
    IN_TIME,
    /** No two attempts of a request are outstanding at the same time. */
    ONE_RELAY_AT_A_TIME,
    /** A request of an unsafe class takes effect at most once and is never retried after it may have executed. */
    UNSAFE_ONCE,
    /** A keyed request takes effect once within its deduplication window and is retried only within it. */
    KEYED_ONCE,
    /** A back-off answer is given only where a retry is harmless. */
    HARMLESS_REFUSAL,
    /** No attempt goes to a host that drains or is gone once the grace period is over. */
    DRAINED,
    /** No recently started router is overloaded by balancers that knew of its start. */
    COLD_ROUTER,
    /** The origin is not overloaded mainly by misses at cold routers. */
    ORIGIN_SPARED,
    /** Every served value was produced by a host for that request. */
    TRUE_VALUE,
    /** No attempt starts more than 0.1 s after its client has left; two such cases in a run are tolerated. */
    LEFT_ALONE,
    /** Internal checks of the balancer's own code. */
    INVARIANT
}
