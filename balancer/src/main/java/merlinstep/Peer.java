package merlinstep;

/** State last received from a balancer; for this balancer, the state last sent. */
final class Peer {
    PeerStatus state = PeerStatus.NONE;
    /** State at the end of the last period, from which its answers are counted. */
    PeerStatus countedState = PeerStatus.NONE;

    boolean fresh;
    long heardMicros = Long.MIN_VALUE;
    int incarnation;
    int sequence;
    /** Encoded {@link CacheLoads} of its last message. */
    byte[] loads = CacheLoads.NONE;

    /** Returns its estimate of X; {@code Double.MAX_VALUE} if it is silent or has none. */
    double allowance() {
        return fresh && state.allowance() > 0 ? state.allowance() : Double.MAX_VALUE;
    }

    /** Stores a message; the counts of a restarted balancer start from it. */
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
