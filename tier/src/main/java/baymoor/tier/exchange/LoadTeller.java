package baymoor.tier.exchange;

import baymoor.tier.message.CompactCount;
import baymoor.tier.message.LoadReport;
import java.util.Arrays;

/**
 * Chooses what a message says of routers: those whose count has changed most since it was told, and a run that goes round all
 * of them, so that none is older than the length of the list by that of the run.
 */
final class LoadTeller {

    /** Changes up to this part of a count, and this many attempts, wait for their turn. */
    private static final double UNCHANGED_PART = 0.2;

    private static final int UNCHANGED = 1;

    private final int apart;
    private final int run;
    private RouterList routers = RouterList.EMPTY;
    private int[] told = new int[0];
    private int cursor;

    /**
     * @param apart routers told out of turn
     * @param run routers told in turn
     */
    LoadTeller(int apart, int run) {
        this.apart = apart;
        this.run = run;
    }

    /** Messages until every router has been told. */
    static int rounds(int routers, int run) {
        return (routers + run - 1) / run;
    }

    /** The next report on these counts. */
    LoadReport next(RouterList list, int[] counts) {
        if (list != routers) {
            routers = list;
            told = new int[list.size()];
            cursor = 0;
        }
        if (list.size() == 0) {
            return LoadReport.NONE;
        }
        int start = cursor;
        byte[] codes = new byte[Math.min(run, list.size() - start)];
        for (int i = 0; i < codes.length; i++) {
            codes[i] = tell(start + i, counts);
        }
        cursor = (start + codes.length) % list.size();
        int[] tags = new int[apart];
        byte[] tagged = new byte[apart];
        int count = 0;
        for (int index = mostChanged(counts); index >= 0 && count < apart; index = mostChanged(counts)) {
            tags[count] = list.tagAt(index);
            tagged[count++] = tell(index, counts);
        }
        return new LoadReport(
                list.fingerprint(), start, codes, Arrays.copyOf(tags, count), Arrays.copyOf(tagged, count));
    }

    private byte tell(int index, int[] counts) {
        told[index] = counts[index];
        return (byte) CompactCount.BYTE.encode(counts[index]);
    }

    /** The router whose count has changed most, by at least a fifth and one attempt; -1 where there is none. */
    private int mostChanged(int[] counts) {
        int best = -1;
        double most = 0;
        for (int index = 0; index < counts.length; index++) {
            double change = Math.abs(counts[index] - told[index]) - UNCHANGED_PART * told[index] - UNCHANGED;
            if (change > most) {
                most = change;
                best = index;
            }
        }
        return best;
    }

    /** Takes a report over into counts. */
    static void apply(LoadReport report, RouterList list, int[] counts) {
        if (report.fingerprint() == list.fingerprint()) {
            for (int i = 0; i < report.run().length && report.start() + i < counts.length; i++) {
                counts[report.start() + i] = (int) CompactCount.BYTE.decode(report.run()[i] & 0xff);
            }
        }
        for (int i = 0; i < report.tags().length; i++) {
            int index = list.index(report.tags()[i]);
            if (index >= 0) {
                counts[index] = (int) CompactCount.BYTE.decode(report.codes()[i] & 0xff);
            }
        }
    }
}
