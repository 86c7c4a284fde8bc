package baymoor.tier.exchange;

import baymoor.tier.message.CompactCount;
import baymoor.tier.message.LoadReport;
import java.util.Arrays;

/**
 * Chooses what a message says of routers: those whose count has changed most since it was told, and a run that goes round all
 * of them, so that none is older than the length of the list by that of the run.
 */
final class LoadReporter {

    /** Changes up to this part of a count, and this many attempts, wait for their turn. */
    private static final double IGNORED_CHANGE_FRACTION = 0.2;

    private static final int IGNORED_CHANGE = 1;

    private final int taggedCount;
    private final int runLength;
    private RouterList routers = RouterList.EMPTY;
    private int[] reported = new int[0];
    private int cursor;

    /**
     * @param taggedCount routers told out of turn
     * @param run routers told in turn
     */
    LoadReporter(int taggedCount, int runLength) {
        this.taggedCount = taggedCount;
        this.runLength = runLength;
    }

    /** Messages until every router has been told. */
    static int messagesPerCycle(int routers, int runLength) {
        return (routers + runLength - 1) / runLength;
    }

    /** The next report on these counts. */
    LoadReport nextReport(RouterList list, int[] counts) {
        if (list != routers) {
            routers = list;
            reported = new int[list.size()];
            cursor = 0;
        }
        if (list.size() == 0) {
            return LoadReport.NONE;
        }
        int start = cursor;
        byte[] codes = new byte[Math.min(runLength, list.size() - start)];
        for (int i = 0; i < codes.length; i++) {
            codes[i] = encodeCount(start + i, counts);
        }
        cursor = (start + codes.length) % list.size();
        int[] tags = new int[taggedCount];
        byte[] tagged = new byte[taggedCount];
        int count = 0;
        for (int index = mostChangedRouter(counts);
                index >= 0 && count < taggedCount;
                index = mostChangedRouter(counts)) {
            tags[count] = list.tagAt(index);
            tagged[count++] = encodeCount(index, counts);
        }
        return new LoadReport(
                list.fingerprint(), start, codes, Arrays.copyOf(tags, count), Arrays.copyOf(tagged, count));
    }

    private byte encodeCount(int index, int[] counts) {
        reported[index] = counts[index];
        return (byte) CompactCount.BYTE.encode(counts[index]);
    }

    /** The router whose count has changed most, by at least a fifth and one attempt; -1 where there is none. */
    private int mostChangedRouter(int[] counts) {
        int best = -1;
        double largestChange = 0;
        for (int index = 0; index < counts.length; index++) {
            double change = Math.abs(counts[index] - reported[index])
                    - IGNORED_CHANGE_FRACTION * reported[index]
                    - IGNORED_CHANGE;
            if (change > largestChange) {
                largestChange = change;
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
            int index = list.indexOf(report.tags()[i]);
            if (index >= 0) {
                counts[index] = (int) CompactCount.BYTE.decode(report.codes()[i] & 0xff);
            }
        }
    }
}
