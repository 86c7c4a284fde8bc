package baymoor.tier.exchange;

/** Counts of what an exchange has seen. */
public final class ExchangeCounters {

    long sent;
    long heard;
    long malformed;
    long foreign;
    long outOfTime;
    long passedOn;
    long previousVersion;
    long contradictions;

    /** Datagrams sent, those passed on included. */
    public long sent() {
        return sent;
    }

    /** Messages taken in. */
    public long heard() {
        return heard;
    }

    /** Datagrams of no known form. */
    public long malformed() {
        return malformed;
    }

    /** Messages from a balancer that can't speak for the child that it names, or of a group that this one isn't in. */
    public long foreign() {
        return foreign;
    }

    /** Messages that are too old, or from the future. */
    public long outOfTime() {
        return outOfTime;
    }

    /** Messages passed on to the balancer that speaks for the child by now. */
    public long passedOn() {
        return passedOn;
    }

    /** Messages of the version before. */
    public long previousVersion() {
        return previousVersion;
    }

    /** Messages that contradict an earlier one of the same child and epoch; such a sender is faulty. */
    public long contradictions() {
        return contradictions;
    }
}
