package baymoor.inventory;

import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * Tracks how long the server list held may be used. A change is due a fixed time after discovery had it and was reachable,
 * whether or not it has arrived. Attempts may therefore start until that long after the last time at which the list was known
 * to be complete, or discovery known to be unreachable. After an order to use another address of discovery all changes are due
 * sooner, as of one time: from then on only a confirmation of that time or later counts, or a connection to the new address that
 * failed.
 *
 * <p>Keeps timestamps only and sets no timer; {@link #isFresh} is evaluated for each attempt. Used on the decision thread.
 */
public final class ListConfirmation {

    /**
     * Time after which a list that isn't confirmed must no longer be used. The drain grace, which comes on top, is left for
     * changes that a live watch delivers late.
     */
    static final long MAX_LIST_AGE_MICROS = 6_000_000;

    /** Time after the order to use another address of discovery at which all that it has to tell counts as delivered. */
    static final long ADDRESS_CHANGE_LIMIT_MICROS = 4_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** How long a peer's statement that it has no newer list holds: two of the longest query intervals. */
    static final long NO_NEWER_LIST_TTL_MICROS = 2_000_000;

    /** False where lists are pushed: the agent's list is always the best available. */
    private final boolean required;
    /** Whether there are peers to query. */
    private final boolean hasPeers;
    /** Counts as a confirmation, so that a process that has just started serves with a list of unknown age. */
    private final long startedMicros;

    private boolean watchLive;
    private long lastCompleteMicros = NEVER;
    private long lastUnreachableMicros = NEVER;
    private long noNewerListMicros = NEVER;
    private long lastConnectFailureMicros = NEVER;
    /** Times at which all changes are due after an order to use another address; of those that have passed the last is enough. */
    private final NavigableSet<Long> changesDueMicros = new TreeSet<>();

    private ListConfirmation(boolean required, boolean hasPeers, long startedMicros) {
        this.required = required;
        this.hasPeers = hasPeers;
        this.startedMicros = startedMicros;
    }

    /**
     * Creates the state of a process that starts now with a list of unknown age.
     *
     * @param hasPeers whether there are peers to query
     */
    public static ListConfirmation startingAt(long nowMicros, boolean hasPeers) {
        return new ListConfirmation(true, hasPeers, nowMicros);
    }

    /** Creates the state for lists that need no confirmation. */
    public static ListConfirmation notNeeded() {
        return new ListConfirmation(false, false, NEVER);
    }

    /** Records a heartbeat of the watch, which confirms that the list is complete. */
    void watchHeartbeat(long nowMicros) {
        watchLive = true;
        recordComplete(nowMicros);
    }

    /** Records that the watch has ended or become idle. */
    void watchLost() {
        watchLive = false;
    }

    /** Records that the list was complete at a time; an earlier time than the last one has no effect. */
    void recordComplete(long atMicros) {
        lastCompleteMicros = Math.max(lastCompleteMicros, atMicros);
    }

    /** Records that a peer, queried at random, has no newer list. */
    void peerHasNoNewerList(long nowMicros) {
        noNewerListMicros = nowMicros;
    }

    /** Records that discovery was unreachable at a time, which extends the use of the list. */
    void recordUnreachable(long atMicros) {
        lastUnreachableMicros = Math.max(lastUnreachableMicros, atMicros);
    }

    /** Records the order to use another address of discovery. */
    void addressChanged(long nowMicros) {
        Long lastDueMicros = changesDueMicros.floor(nowMicros);
        if (lastDueMicros != null) {
            changesDueMicros.headSet(lastDueMicros).clear();
        }
        changesDueMicros.add(nowMicros + ADDRESS_CHANGE_LIMIT_MICROS);
    }

    /** Returns when discovery was last unreachable, or a time long ago if it never was. */
    long lastUnreachableMicros() {
        return lastUnreachableMicros;
    }

    /**
     * Records a failed call to discovery. A failed connection means that discovery was unreachable. A rejection means either
     * that or overload; under overload some peers have a watch, so it counts as unreachable only if no peer queried lately had
     * a newer list, or there are no peers. A timeout has no effect, as only the network path may be broken.
     *
     * @param startedMicros when the call was started
     * @return whether the failure extends the use of the list
     */
    boolean callFailed(CallPacing.Outcome outcome, long startedMicros, long nowMicros) {
        boolean connectFailed = outcome == CallPacing.Outcome.CONNECTION_FAILED;
        boolean noPeerHasNewer = !hasPeers || nowMicros - noNewerListMicros < NO_NEWER_LIST_TTL_MICROS;
        boolean unreachable = connectFailed || outcome == CallPacing.Outcome.REJECTED && noPeerHasNewer;
        if (connectFailed) {
            lastConnectFailureMicros = Math.max(lastConnectFailureMicros, startedMicros);
        }
        if (unreachable) {
            recordUnreachable(startedMicros);
        }
        return unreachable;
    }

    /** Returns whether a watch is established and not idle. */
    boolean hasLiveWatch() {
        return watchLive;
    }

    /** Returns whether the list has been confirmed since the start, by discovery or through peers. */
    boolean isConfirmed() {
        return lastCompleteMicros != NEVER;
    }

    /** Returns when the list was last known to be complete, or a time long ago if it never was. */
    long lastCompleteMicros() {
        return lastCompleteMicros;
    }

    /** Returns whether a new attempt may use the list held. */
    public boolean isFresh(long nowMicros) {
        if (!required || watchLive) {
            return true;
        }
        long lastValidMicros = Math.max(startedMicros, Math.max(lastCompleteMicros, lastUnreachableMicros));
        return nowMicros < lastValidMicros + MAX_LIST_AGE_MICROS && knowsChangesDue(nowMicros);
    }

    /**
     * Returns whether the list has what was due after the orders to use another address. A rejected call to the new address does not
     * extend the use of the list here: a discovery that rejects calls has changes to tell.
     */
    private boolean knowsChangesDue(long nowMicros) {
        Long lastDueMicros = changesDueMicros.floor(nowMicros);
        if (lastDueMicros == null || lastCompleteMicros >= lastDueMicros) {
            return true;
        }
        long lastAddressChangeMicros = changesDueMicros.last() - ADDRESS_CHANGE_LIMIT_MICROS;
        return lastConnectFailureMicros >= lastAddressChangeMicros
                && nowMicros < lastConnectFailureMicros + MAX_LIST_AGE_MICROS;
    }
}
