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
    static final long TOLD_MICROS = 6_000_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /** A call that ends sooner than this has not waited for its turn: discovery may be down. */
    static final long AT_ONCE_MICROS = 250_000;
    /** How long another balancer's word that it knows no more holds: two of the longest pauses between questions. */
    static final long NONE_KNOWS_MICROS = 2_000_000;

    /** Whether the list is to be confirmed at all: where it is pushed, the agent's is the best there is. */
    private final boolean needed;
    /** Whether others can be asked. */
    private final boolean peers;
    /** Up to then a list of unknown age is used: a program that has just started must serve also if nobody answers. */
    private final long startedMicros;

    private boolean watched;
    private long completeMicros = NEVER;
    private long unreachableMicros = NEVER;
    private long noneKnowsMicros = NEVER;

    private ListConfirmation(boolean needed, boolean peers, long startedMicros) {
        this.needed = needed;
        this.peers = peers;
        this.startedMicros = startedMicros;
    }

    /** Of a program that starts now with a list of unknown age. */
    public static ListConfirmation from(long nowMicros, boolean peers) {
        return new ListConfirmation(true, peers, nowMicros);
    }

    /** Of lists that need no confirmation. */
    public static ListConfirmation notNeeded() {
        return new ListConfirmation(false, false, NEVER);
    }

    /** The watch has shown a sign of life: what it told so far is all there is to tell. */
    void watchAlive(long nowMicros) {
        watched = true;
        complete(nowMicros);
    }

    /** The watch has ended or fallen silent. */
    void watchLost() {
        watched = false;
    }

    /** The list was complete at a time. */
    void complete(long atMicros) {
        completeMicros = Math.max(completeMicros, atMicros);
    }

    /** Another balancer, asked at random, has no later word of the list either. */
    void noneKnows(long nowMicros) {
        noneKnowsMicros = nowMicros;
    }

    /** Discovery could not be reached at a time: what it has counts as told so much later. */
    void unreachable(long atMicros) {
        unreachableMicros = Math.max(unreachableMicros, atMicros);
    }

    /** When discovery could last not be reached, long ago where it always could. */
    long unreachableMicros() {
        return unreachableMicros;
    }

    /**
     * A call for the list has failed. Discovery was down then if it took no connection, and may have been if it turned the
     * call down at once. That also happens where too many call; but then others have a watch, so it counts where none of
     * those asked had, or there is nobody to ask.
     */
    void failed(CallPacing.End end, long beganMicros, long nowMicros) {
        boolean nobody = !peers || nowMicros - noneKnowsMicros < NONE_KNOWS_MICROS;
        boolean atOnce = nowMicros - beganMicros < AT_ONCE_MICROS;
        if (end == CallPacing.End.REFUSED || end == CallPacing.End.TURNED_DOWN && atOnce && nobody) {
            unreachable(beganMicros);
        }
    }

    /** Whether a watch is up that lives. */
    boolean watched() {
        return watched;
    }

    /** Whether the list has been confirmed since the start, by discovery or by one that had it from there. */
    boolean confirmed() {
        return completeMicros != NEVER;
    }

    /** When the list was last known to be complete, long ago where it never was. */
    long completeMicros() {
        return completeMicros;
    }

    /** Whether an attempt may begin on the list held. */
    public boolean current(long nowMicros) {
        long since = Math.max(startedMicros, Math.max(completeMicros, unreachableMicros));
        return !needed || watched || nowMicros < since + TOLD_MICROS;
    }
}
