package baymoor.tier.message;

import java.util.Arrays;

/**
 * What a child of a group binds itself to in one epoch, once and for all: whom of its siblings it acknowledges, and how much
 * of its own part it gives to each of them, in a later epoch that follows from the level.
 *
 * @param acknowledged bit i is set where child i has been heard lately
 * @param gives units given to each child
 */
public record Commitment(int acknowledged, int[] gives) {

    /** Whether a sibling is acknowledged. */
    public boolean acknowledges(int child) {
        return (acknowledged >> child & 1) != 0;
    }

    /** All that is given away. */
    public long given() {
        return Arrays.stream(gives).asLongStream().sum();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Commitment that
                && acknowledged == that.acknowledged
                && Arrays.equals(gives, that.gives);
    }

    @Override
    public int hashCode() {
        return 31 * acknowledged + Arrays.hashCode(gives);
    }

    @Override
    public String toString() {
        return "Commitment[" + Integer.toBinaryString(acknowledged) + ", " + Arrays.toString(gives) + "]";
    }
}
