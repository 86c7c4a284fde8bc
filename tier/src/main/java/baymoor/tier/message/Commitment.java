package baymoor.tier.message;

import java.util.Arrays;

/**
 * The irrevocable commitment of a group's child in one epoch: which siblings it acknowledges as alive, and how many units of
 * its own share it transfers to each of them. Both take effect in a later epoch that depends on the level. The array must not
 * be modified after construction.
 *
 * @param acknowledged a bit set in which bit {@code i} is set if a recent message from child {@code i} was received
 * @param transfers the units transferred to each child, indexed by child
 */
public record Commitment(int acknowledged, int[] transfers) {

    /** Returns whether the commitment acknowledges the given child. */
    public boolean acknowledges(int child) {
        return (acknowledged >> child & 1) != 0;
    }

    /** Returns the sum of all transferred units. */
    public long totalTransferred() {
        return Arrays.stream(transfers).asLongStream().sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Commitment that
                && acknowledged == that.acknowledged
                && Arrays.equals(transfers, that.transfers);
    }

    @Override
    public int hashCode() {
        return 31 * acknowledged + Arrays.hashCode(transfers);
    }

    @Override
    public String toString() {
        return "Commitment[" + Integer.toBinaryString(acknowledged) + ", " + Arrays.toString(transfers) + "]";
    }
}
