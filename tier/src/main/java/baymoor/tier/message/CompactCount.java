package baymoor.tier.message;

/**
 * Encodings of a count in one or two bytes: exact for small counts, and an unsigned floating-point format with truncation for
 * larger ones.
 */
public enum CompactCount {
    /** One byte: exact up to 31, then with a relative error below 1/16. */
    BYTE(4),
    /** Two bytes: exact up to 2047, then with a relative error below 1/1024. */
    SHORT(10);

    private final int mantissaBits;
    private final int maxCode;

    CompactCount(int mantissaBits) {
        this.mantissaBits = mantissaBits;
        maxCode = mantissaBits == 4 ? 0xff : 0xffff;
    }

    /** Returns the code of a count. Counts above the range are clamped to the highest code, negative counts to 0. */
    public int encode(long count) {
        long value = Math.max(0, count);
        int exponent = Math.max(0, Long.SIZE - Long.numberOfLeadingZeros(value) - mantissaBits - 1);
        long code = ((long) exponent << mantissaBits) + (value >> exponent);
        return (int) Math.min(maxCode, code);
    }

    /** Returns the count that a code stands for. */
    public long decode(int code) {
        int exponent = Math.max(0, (code >> mantissaBits) - 1);
        return (long) (code - (exponent << mantissaBits)) << Math.min(exponent, Long.SIZE - mantissaBits - 3);
    }
}
