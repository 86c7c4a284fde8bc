package merlinstep;

import java.nio.ByteBuffer;

/** What a balancer says of itself; counts of answers run from its start, so that a lost message loses none. */
record Figures(
        int period,
        int positionMillis,
        int fetched,
        int queue,
        float weight,
        int credits,
        int draw,
        int outstanding,
        float x,
        int answers,
        long latencyMillis,
        int failures) {
    static final byte VERSION = 1;
    static final int BYTES = 45;
    private static final int LONGEST_POSITION_MILLIS = 10_000;
    static final Figures NONE = new Figures(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    byte[] encode(int incarnation, int sequence, byte[] loads) {
        ByteBuffer b = ByteBuffer.allocate(BYTES + loads.length)
                .put(VERSION)
                .putShort((short) incarnation)
                .putInt(sequence);
        for (int v : new int[] {period, positionMillis, fetched, queue, credits, draw, outstanding}) {
            b.putShort((short) Math.min(v, 0xffff));
        }
        return b.putFloat(weight)
                .putFloat(x)
                .putInt(answers)
                .putLong(latencyMillis)
                .putInt(failures)
                .put(loads)
                .array();
    }

    static Figures decode(ByteBuffer b) {
        int[] v = new int[7];
        for (int i = 0; i < v.length; i++) {
            v[i] = b.getShort() & 0xffff;
        }
        float weight = b.getFloat();
        return new Figures(
                v[0], v[1], v[2], v[3], weight, v[4], v[5], v[6], b.getFloat(), b.getInt(), b.getLong(), b.getInt());
    }

    boolean possible() {
        return weight >= 0 && weight < 1e9 && x >= 0 && x < 1e9 && positionMillis <= LONGEST_POSITION_MILLIS;
    }
}
