package baymoor.tier.exchange;

import baymoor.tier.message.Commitment;
import java.util.Arrays;

/** The commitments of all children of a group by the epoch in which they were made, as far as they are known. */
final class CommitmentLog {

    /** Longer than the furthest lead and the oldest message together. */
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
     * Keeps what a child committed itself to in an epoch. The first word stands.
     *
     * @return false where another one is known already, which no correct sender causes
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

    /** What a child committed itself to in an epoch, or null where that isn't known. */
    Commitment get(int child, int epoch) {
        if (epoch < 0) {
            return null;
        }
        int slot = epoch % WINDOW_EPOCHS;
        return epochs[child][slot] == epoch ? entries[child][slot] : null;
    }
}
