package baymoor.tier.exchange;

/** Counts of what an exchange has seen. */
public final class ExchangeCounters {

    long sent;
    long received;
    long malformed;
    long implausible;
    long outsideWindow;
    long forwarded;
    long previousVersion;
    long conflicting;

    /** Datagrams sent, those passed on included. */
    public long sent() {
        return sent;
    }

    /** Messages taken in. */
    public long received() {
        return received;
    }

    /** Datagrams of no known form. */
    public long malformed() {
        return malformed;
    }

    /** Messages from a balancer that can't speak for the child that it names, or of a group that this one isn't in. */
    public long implausible() {
        return implausible;
    }

    /** Messages that are too old, or from the future. */
    public long outsideWindow() {
        return outsideWindow;
    }

    /** Messages passed on to the balancer that speaks for the child by now. */
    public long forwarded() {
        return forwarded;
    }

    /** Messages of the version before. */
    public long previousVersion() {
        return previousVersion;
    }

    /** Messages that contradict an earlier one of the same child and epoch; such a sender is faulty. */
    public long conflicting() {
        return conflicting;
    }
}
