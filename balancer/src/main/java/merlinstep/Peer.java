package merlinstep;

/** A balancer as last heard; for this one, what it last told. */
final class Peer {
    Figures said = Figures.NONE;
    /** What was said when its answers were last counted. */
    Figures counted = Figures.NONE;

    boolean fresh;
    long heardMicros = Long.MIN_VALUE;
    int incarnation;
    int sequence;
    /** What it last told to have out at each cache. */
    byte[] loads = Loads.NONE;

    /** Its estimate of X; no bound while it is silent or has learnt none. */
    double allowance() {
        return fresh && said.x() > 0 ? said.x() : Double.MAX_VALUE;
    }

    /** Takes over a message; the counts of a restarted balancer begin anew. */
    void hear(int sender, int number, long nowMicros, Figures figures, byte[] out) {
        if (heardMicros == Long.MIN_VALUE || sender != incarnation) {
            counted = figures;
        }
        incarnation = sender;
        sequence = number;
        heardMicros = nowMicros;
        fresh = true;
        said = figures;
        loads = out;
    }
}
