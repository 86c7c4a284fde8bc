package baymoor.tier.message;

/** Counts in one or two bytes: exact while they are small, floating point with a relative error of a mantissa step above. */
public enum CompactCount {
    /** Exact to 31, then within 1/16. */
    BYTE(4),
    /** Exact to 2047, then within 1/1024. */
    SHORT(10);

    private final int mantissaBits;
    private final int maxCode;

    CompactCount(int mantissaBits) {
        this.mantissaBits = mantissaBits;
        maxCode = mantissaBits == 4 ? 0xff : 0xffff;
    }

    /** The code of a count; one that is too large becomes the largest there is, a negative one 0. */
    public int encode(long count) {
        long value = Math.max(0, count);
        int exponent = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(value) - mantissaBits - 1);
        long code = ((long) exponent << mantissaBits) + (value >> exponent);
        return (int) Math.min(maxCode, code);
    }

    /** The count of a code. */
    public long decode(int code) {
        int exponent = Math.max(0, (code >> mantissaBits) - 1);
        return (long) (code - (exponent << mantissaBits)) << Math.min(exponent, Long.SIZE - mantissaBits - 3);
    }
}
