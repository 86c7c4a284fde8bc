package baymoor.inventory;

/**
 * Until when the list held may be used. A change of the list counts as told some seconds after discovery had it and could be
 * reached, whether it arrived or not; so an attempt may begin until that long after the last moment of which it is known that
 * the list was complete, or that discovery could not be reached. Worked out as times, and asked at each attempt: no timer.
 */
public final class ListConfirmation {

    /**
     * What discovery has counts as told so long after it could be reached. The grace for drains, which comes on top, is left
     * for what a watch tells late.
     */
    static final long MAX_LIST_AGE_MICROS = 6_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** How long another balancer's word that it knows no more holds: two of the longest pauses between questions. */
    static final long NO_NEWER_LIST_TTL_MICROS = 2_000_000;

    /** Whether the list is to be confirmed at all: where it is pushed, the agent's is the best there is. */
    private final boolean required;
    /** Whether others can be asked. */
    private final boolean hasPeers;
    /** Up to then a list of unknown age is used: a program that has just started must serve also if nobody answers. */
    private final long startedMicros;

    private boolean watchLive;
    private long lastCompleteMicros = NEVER;
    private long lastUnreachableMicros = NEVER;
    private long noNewerListMicros = NEVER;

    private ListConfirmation(boolean required, boolean hasPeers, long startedMicros) {
        this.required = required;
        this.hasPeers = hasPeers;
        this.startedMicros = startedMicros;
    }

    /** Of a program that starts now with a list of unknown age. */
    public static ListConfirmation from(long nowMicros, boolean hasPeers) {
        return new ListConfirmation(true, hasPeers, nowMicros);
    }

    /** Of lists that need no confirmation. */
    public static ListConfirmation notNeeded() {
        return new ListConfirmation(false, false, NEVER);
    }

    /** The watch has shown a sign of life: what it told so far is all there is to tell. */
    void watchHeartbeat(long nowMicros) {
        watchLive = true;
        recordComplete(nowMicros);
    }

    /** The watch has ended or fallen silent. */
    void watchLost() {
        watchLive = false;
    }

    /** The list was complete at a time. */
    void recordComplete(long atMicros) {
        lastCompleteMicros = Math.max(lastCompleteMicros, atMicros);
    }

    /** Another balancer, asked at random, has no later word of the list either. */
    void peerHasNoNewerList(long nowMicros) {
        noNewerListMicros = nowMicros;
    }

    /** Discovery could not be reached at a time: what it has counts as told so much later. */
    void recordUnreachable(long atMicros) {
        lastUnreachableMicros = Math.max(lastUnreachableMicros, atMicros);
    }

    /** When discovery could last not be reached, long ago where it always could. */
    long lastUnreachableMicros() {
        return lastUnreachableMicros;
    }

    /**
     * A call for the list has failed. Discovery was down then if it took no connection, and may have been if it turned the
     * call down, at once or after a wait. That also happens where too many call; but then others have a watch, so it counts
     * where those asked had none, or there is nobody to ask. A call that stays silent tells nothing: the way there may be cut.
     */
    void callFailed(CallPacing.Outcome outcome, long startedMicros, long nowMicros) {
        boolean noPeerHasNewer = !hasPeers || nowMicros - noNewerListMicros < NO_NEWER_LIST_TTL_MICROS;
        if (outcome == CallPacing.Outcome.CONNECTION_FAILED
                || outcome == CallPacing.Outcome.REJECTED && noPeerHasNewer) {
            recordUnreachable(startedMicros);
        }
    }

    /** Whether a watch is up that lives. */
    boolean hasLiveWatch() {
        return watchLive;
    }

    /** Whether the list has been confirmed since the start, by discovery or by one that had it from there. */
    boolean isConfirmed() {
        return lastCompleteMicros != NEVER;
    }

    /** When the list was last known to be complete, long ago where it never was. */
    long lastCompleteMicros() {
        return lastCompleteMicros;
    }

    /** Whether an attempt may begin on the list held. */
    public boolean current(long nowMicros) {
        long lastValidMicros = Math.max(startedMicros, Math.max(lastCompleteMicros, lastUnreachableMicros));
        return !required || watchLive || nowMicros < lastValidMicros + MAX_LIST_AGE_MICROS;
    }
}
