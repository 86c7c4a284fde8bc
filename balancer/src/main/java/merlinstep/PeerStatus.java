package merlinstep;

import java.nio.ByteBuffer;

/**
 * State that a balancer sends to its peers. Answers, latency and failures are totals since its start, so that a lost
 * message loses no counts.
 *
 * @param period number of the period, modulo 65536
 * @param fetched fetches in this period
 * @param queue queued misses and writes
 * @param weight summed weight of the queue (equation 6)
 * @param draw random number that orders the return of the surplus (equation 9)
 * @param outstanding outstanding fetches
 * @param allowance estimate of X; 0 if none
 */
record PeerStatus(
        int period,
        int positionMillis,
        int fetched,
        int queue,
        float weight,
        int credits,
        int draw,
        int outstanding,
        float allowance,
        int answers,
        long latencyMillis,
        int failures) {
    static final byte VERSION = 1;
    static final int BYTES = 45;
    private static final int MAX_POSITION_MILLIS = 10_000;
    static final PeerStatus NONE = new PeerStatus(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    /** Returns a message with this state and the loads of caches. */
    byte[] encode(int incarnation, int sequence, byte[] loads) {
        ByteBuffer buffer = ByteBuffer.allocate(BYTES + loads.length)
                .put(VERSION)
                .putShort((short) incarnation)
                .putInt(sequence);
        for (int value : new int[] {period, positionMillis, fetched, queue, credits, draw, outstanding}) {
            buffer.putShort((short) Math.min(value, 0xffff));
        }
        return buffer.putFloat(weight)
                .putFloat(allowance)
                .putInt(answers)
                .putLong(latencyMillis)
                .putInt(failures)
                .put(loads)
                .array();
    }

    /** Reads a state; the buffer is positioned after version, incarnation and sequence. */
    static PeerStatus decode(ByteBuffer buffer) {
        int[] values = new int[7];
        for (int i = 0; i < values.length; i++) {
            values[i] = buffer.getShort() & 0xffff;
        }
        float weight = buffer.getFloat();
        return new PeerStatus(
                values[0],
                values[1],
                values[2],
                values[3],
                weight,
                values[4],
                values[5],
                values[6],
                buffer.getFloat(),
                buffer.getInt(),
                buffer.getLong(),
                buffer.getInt());
    }

    /** Returns whether all values are in range. */
    boolean isPlausible() {
        return weight >= 0
                && weight < 1e9
                && allowance >= 0
                && allowance < 1e9
                && positionMillis <= MAX_POSITION_MILLIS;
    }
}
