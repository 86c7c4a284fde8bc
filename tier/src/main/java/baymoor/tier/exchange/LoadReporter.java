package baymoor.tier.exchange;

import baymoor.tier.message.CompactCount;
import baymoor.tier.message.LoadReport;
import java.util.Arrays;

/**
 * Selects the router loads to include in each message: the counts that changed most since they were last reported, and a run
 * of consecutive routers that cycles through the list, which bounds the age of every count. Not thread-safe.
 */
final class LoadReporter {

    /** A change is reported ahead of the cycle only if it exceeds this fraction of the count plus {@link #IGNORED_CHANGE}. */
    private static final double IGNORED_CHANGE_FRACTION = 0.2;

    private static final int IGNORED_CHANGE = 1;

    private final int taggedCount;
    private final int runLength;
    private RouterList routers = RouterList.EMPTY;
    private int[] reported = new int[0];
    private int cursor;

    /**
     * Creates a reporter whose first run starts with the first router of the list.
     *
     * @param taggedCount maximum number of routers per message that are reported individually
     * @param runLength maximum number of consecutive routers per message
     */
    LoadReporter(int taggedCount, int runLength) {
        this.taggedCount = taggedCount;
        this.runLength = runLength;
    }

    /** Returns the number of messages whose runs report each router once. */
    static int messagesPerCycle(int routers, int runLength) {
        return (routers + runLength - 1) / runLength;
    }

    /** Returns the next report of the counts, which are in the order of the list. */
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

    /** Returns the router whose count exceeds the ignored change by most, or -1 if none does. */
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

    /** Updates counts in the order of the list from a report. A run based on a different list is ignored. */
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
