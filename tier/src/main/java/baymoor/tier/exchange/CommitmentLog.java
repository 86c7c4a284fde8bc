package baymoor.tier.exchange;

import baymoor.tier.message.Commitment;
import java.util.Arrays;

/** The known recent commitments of all children of a group, by the epoch in which they were made. Not thread-safe. */
final class CommitmentLog {

    /** Exceeds the longest lead of a commitment plus the maximum age of a message. */
    private static final int WINDOW_EPOCHS = 32;

    private static final int NONE = -1;

    private final int[][] epochs;
    private final Commitment[][] entries;

    CommitmentLog(int children) {
        epochs = new int[children][WINDOW_EPOCHS];
        entries = new Commitment[children][WINDOW_EPOCHS];
        for (int[] row : epochs) {
            Arrays.fill(row, NONE);
        }
    }

    /**
     * Records a child's commitment of an epoch. The first one recorded for an epoch is kept.
     *
     * @return false if a different commitment is already known, which no correct sender causes
     */
    boolean put(int child, int epoch, Commitment commitment) {
        int slot = epoch % WINDOW_EPOCHS;
        if (epochs[child][slot] == epoch) {
            return entries[child][slot].equals(commitment);
        }
        if (epoch > epochs[child][slot]) {
            epochs[child][slot] = epoch;
            entries[child][slot] = commitment;
        }
        return true;
    }

    /** Returns a child's commitment of an epoch, or null if it is unknown. */
    Commitment get(int child, int epoch) {
        if (epoch < 0) {
            return null;
        }
        int slot = epoch % WINDOW_EPOCHS;
        return epochs[child][slot] == epoch ? entries[child][slot] : null;
    }
}
