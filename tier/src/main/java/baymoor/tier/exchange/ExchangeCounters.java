package baymoor.tier.exchange;

/** Counters of the messages that an exchange has sent, processed and dropped. Written by the exchange's thread. */
public final class ExchangeCounters {

    long sent;
    long received;
    long malformed;
    long implausible;
    long outsideWindow;
    long forwarded;
    long previousVersion;
    long conflicting;

    /** Returns the number of datagrams sent, including forwarded ones. */
    public long sent() {
        return sent;
    }

    /** Returns the number of messages of the current version that were processed. */
    public long received() {
        return received;
    }

    /** Returns the number of datagrams that could not be decoded. */
    public long malformed() {
        return malformed;
    }

    /** Returns the number of messages whose sender can't represent the named child, or whose group is not this balancer's. */
    public long implausible() {
        return implausible;
    }

    /** Returns the number of messages dropped because their epoch was too far in the past or the future. */
    public long outsideWindow() {
        return outsideWindow;
    }

    /** Returns the number of messages forwarded to the current holder of a lease. */
    public long forwarded() {
        return forwarded;
    }

    /** Returns the number of messages of the previous protocol version that were processed. */
    public long previousVersion() {
        return previousVersion;
    }

    /** Returns the number of messages that contradict an earlier commitment of the same child and epoch: a faulty sender. */
    public long conflicting() {
        return conflicting;
    }
}
