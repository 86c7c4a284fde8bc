package baymoor.tier.message;

import java.util.Arrays;

/**
 * Attempts that are out at routers: some routers by a hash of their id, and a run of those in the order of these hashes.
 *
 * @param fingerprint a hash of the sender's list of routers; the run means something only to who has the same list
 * @param start index of the run's first router
 * @param run codes of the run's counts ({@link CompactCount#BYTE})
 * @param tags hashes of the routers that are told apart from the run
 * @param codes codes of their counts
 */
public record LoadReport(int fingerprint, int start, byte[] run, int[] tags, byte[] codes) {

    /** Nothing told. */
    public static final LoadReport NONE = new LoadReport(0, 0, new byte[0], new int[0], new byte[0]);

    /** Bytes of a report without entries. */
    static final int HEADER_BYTES = 6;
    /** Bytes of an entry that stands apart. */
    static final int TAGGED_ENTRY_BYTES = 3;

    /** The number of bytes that it takes. */
    public int encodedBytes() {
        return HEADER_BYTES + run.length + TAGGED_ENTRY_BYTES * tags.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof LoadReport that
                && fingerprint == that.fingerprint
                && start == that.start
                && Arrays.equals(run, that.run)
                && Arrays.equals(tags, that.tags)
                && Arrays.equals(codes, that.codes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(new int[] {fingerprint, start, Arrays.hashCode(run), Arrays.hashCode(tags)});
    }

    @Override
    public String toString() {
        return "LoadReport[" + start + "+" + run.length + ", " + tags.length + " apart]";
    }
}
