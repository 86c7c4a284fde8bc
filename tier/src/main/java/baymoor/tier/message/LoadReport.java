package baymoor.tier.message;

import java.util.Arrays;

/**
 * A partial report of the attempts in flight at routers. It holds the counts of consecutive routers, in the order of the
 * hashes of their ids, and those of individual routers that are identified by their hash. The arrays must not be modified
 * after construction.
 *
 * @param fingerprint a hash of the sender's router list; {@code run} is valid only for receivers with the same list
 * @param start the index in the router list of the first router of {@code run}
 * @param run the counts of consecutive routers, encoded with {@link CompactCount#BYTE}
 * @param tags the hashes of the individually reported routers
 * @param codes the counts of the individually reported routers, encoded with {@link CompactCount#BYTE}
 */
public record LoadReport(int fingerprint, int start, byte[] run, int[] tags, byte[] codes) {

    /** The empty report. */
    public static final LoadReport NONE = new LoadReport(0, 0, new byte[0], new int[0], new byte[0]);

    /** The encoded size of a report without entries, in bytes. */
    static final int HEADER_BYTES = 6;
    /** The encoded size of an individually reported router, in bytes. */
    static final int TAGGED_ENTRY_BYTES = 3;

    /** Returns the encoded size in bytes. */
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
        return "LoadReport[" + start + "+" + run.length + ", " + tags.length + " tagged]";
    }
}
