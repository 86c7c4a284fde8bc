package baymoor.scale.hollow;

import java.util.Arrays;

/** What one balancer has sent and received for control since its start, and what its ticks took. */
final class Traffic {

    private static final long NEVER = 0;

    long messagesIn;
    long messagesOut;
    long bytesIn;
    long bytesOut;
    long discoveryBytesIn;
    long discoveryBytesOut;
    long discoveryReads;
    long ticks;
    long tickNanos;
    /** By number of the other balancer: when it was heard last, on the clock of all processes. */
    final long[] heardMicros;
    /** By number of a real balancer: messages and bytes from it, messages to it, and when it was told last. */
    final long[] realMessages;

    final long[] realBytes;
    final long[] toRealMessages;
    final long[] toRealMicros;

    Traffic(int balancers, int real) {
        heardMicros = new long[balancers];
        realMessages = new long[real];
        realBytes = new long[real];
        toRealMessages = new long[real];
        toRealMicros = new long[real];
    }

    void heard(int from, int bytes, long atMicros) {
        messagesIn++;
        bytesIn += bytes;
        heardMicros[from] = atMicros;
        if (from < realMessages.length) {
            realMessages[from]++;
            realBytes[from] += bytes;
        }
    }

    void told(int to, int bytes, long atMicros) {
        messagesOut++;
        bytesOut += bytes;
        if (to < toRealMessages.length) {
            toRealMessages[to]++;
            toRealMicros[to] = atMicros;
        }
    }

    /** Whether every balancer but the one with this number was heard. */
    boolean heardAll(int self) {
        for (int other = 0; other < heardMicros.length; other++) {
            if (other != self && heardMicros[other] == NEVER) {
                return false;
            }
        }
        return true;
    }

    /** Adds the sums of another balancer, but not when it heard or told whom. */
    void add(Traffic other) {
        messagesIn += other.messagesIn;
        messagesOut += other.messagesOut;
        bytesIn += other.bytesIn;
        bytesOut += other.bytesOut;
        discoveryBytesIn += other.discoveryBytesIn;
        discoveryBytesOut += other.discoveryBytesOut;
        discoveryReads += other.discoveryReads;
        ticks += other.ticks;
        tickNanos += other.tickNanos;
        for (int real = 0; real < realMessages.length; real++) {
            realMessages[real] += other.realMessages[real];
            realBytes[real] += other.realBytes[real];
            toRealMessages[real] += other.toRealMessages[real];
        }
    }

    void forget() {
        Arrays.fill(heardMicros, NEVER);
    }
}
