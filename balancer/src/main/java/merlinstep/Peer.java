package merlinstep;

/** A balancer as last heard; for this one, what it last told. */
final class Peer {
    PeerStatus state = PeerStatus.NONE;
    /** What was said when its answers were last counted. */
    PeerStatus countedState = PeerStatus.NONE;

    boolean fresh;
    long heardMicros = Long.MIN_VALUE;
    int incarnation;
    int sequence;
    /** What it last told to have out at each cache. */
    byte[] loads = CacheLoads.NONE;

    /** Its estimate of X; no bound while it is silent or has learnt none. */
    double allowance() {
        return fresh && state.allowance() > 0 ? state.allowance() : Double.MAX_VALUE;
    }

    /** Takes over a message; the counts of a restarted balancer begin anew. */
    void store(int newIncarnation, int newSequence, long nowMicros, PeerStatus newState, byte[] newLoads) {
        if (heardMicros == Long.MIN_VALUE || newIncarnation != incarnation) {
            countedState = newState;
        }
        incarnation = newIncarnation;
        sequence = newSequence;
        heardMicros = nowMicros;
        fresh = true;
        state = newState;
        loads = newLoads;
    }
}
