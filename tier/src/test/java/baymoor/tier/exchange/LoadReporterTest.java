package baymoor.tier.exchange;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.tier.message.CompactCount;
import baymoor.tier.message.LoadReport;
import java.util.Arrays;
import java.util.Random;
import java.util.stream.LongStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class LoadReporterTest {

    private static final String SEED = "4717";

    private static RouterList routers(int count) {
        return new RouterList(LongStream.rangeClosed(1, count).toArray());
    }

    private static int roundTrip(int count) {
        return (int) CompactCount.BYTE.decode(CompactCount.BYTE.encode(count));
    }

    /** The age of every reported count is bounded by one cycle, however the counts change. */
    @Property(seed = SEED, tries = 200)
    void everyRouterIsReportedWithinOneCycle(
            @ForAll @IntRange(min = 1, max = 400) int routers,
            @ForAll @IntRange(min = 1, max = 40) int runLength,
            @ForAll long seed) {
        Random random = new Random(seed);
        RouterList list = routers(routers);
        LoadReporter reporter = new LoadReporter(4, runLength);
        int messagesPerCycle = LoadReporter.messagesPerCycle(list.size(), runLength)
                + 1; // runs do not wrap around the end of the list
        int[][] history = new int[messagesPerCycle][];
        int[] received = new int[list.size()];
        for (int message = 0; message < 3 * messagesPerCycle; message++) {
            int[] counts = random.ints(list.size(), 0, 500).toArray();
            history[message % messagesPerCycle] = counts;
            LoadReporter.apply(reporter.nextReport(list, counts), list, received);
            if (message >= messagesPerCycle) {
                for (int index = 0; index < received.length; index++) {
                    int at = index;
                    assertTrue(Arrays.stream(history).anyMatch(h -> roundTrip(h[at]) == received[at]));
                }
            }
        }
    }

    @Example
    void largestChangeIsReportedImmediately() {
        RouterList list = routers(180);
        LoadReporter reporter = new LoadReporter(4, 18);
        int[] counts = new int[list.size()];
        int[] received = new int[list.size()];
        LoadReporter.apply(reporter.nextReport(list, counts), list, received);
        counts[170] = 25;
        LoadReporter.apply(reporter.nextReport(list, counts), list, received);
        assertEquals(25, received[170]);
    }

    @Example
    void runOfDifferentRouterListIsIgnoredButTagsApply() {
        RouterList receiverList = routers(180);
        RouterList senderList = routers(170);
        LoadReporter reporter = new LoadReporter(4, 18);
        int[] counts = new int[senderList.size()];
        Arrays.fill(counts, 1);
        int shared = senderList.indexOf(RouterList.tag(5));
        counts[shared] = 30;
        LoadReport report = reporter.nextReport(senderList, counts);
        int[] received = new int[receiverList.size()];
        LoadReporter.apply(report, receiverList, received);
        long tagged = Arrays.stream(report.tags())
                .filter(t -> receiverList.indexOf(t) >= 0)
                .count();
        assertEquals(tagged, Arrays.stream(received).filter(h -> h > 0).count());
        boolean sentByTag = Arrays.stream(report.tags()).anyMatch(t -> t == RouterList.tag(5));
        assertEquals(sentByTag ? 30 : 0, received[receiverList.indexOf(RouterList.tag(5))]);
    }

    @Example
    void emptyRouterListYieldsEmptyReport() {
        assertEquals(LoadReport.NONE, new LoadReporter(4, 18).nextReport(RouterList.EMPTY, new int[0]));
    }
}
