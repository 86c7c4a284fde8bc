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

class LoadTellerTest {

    private static final String SEED = "4717";

    private static RouterList routers(int count) {
        return new RouterList(LongStream.rangeClosed(1, count).toArray());
    }

    private static int told(int count) {
        return (int) CompactCount.BYTE.decode(CompactCount.BYTE.encode(count));
    }

    /** However counts change, no router is older than the length of the list by that of the run. */
    @Property(seed = SEED, tries = 200)
    void everyRouterIsToldWithinItsRounds(
            @ForAll @IntRange(min = 1, max = 400) int routers,
            @ForAll @IntRange(min = 1, max = 40) int run,
            @ForAll long seed) {
        Random random = new Random(seed);
        RouterList list = routers(routers);
        LoadTeller teller = new LoadTeller(4, run);
        int rounds = LoadTeller.rounds(list.size(), run) + 1; // the run doesn't go on from the end to the beginning
        int[][] history = new int[rounds][];
        int[] heard = new int[list.size()];
        for (int message = 0; message < 3 * rounds; message++) {
            int[] counts = random.ints(list.size(), 0, 500).toArray();
            history[message % rounds] = counts;
            LoadTeller.apply(teller.next(list, counts), list, heard);
            if (message >= rounds) {
                for (int index = 0; index < heard.length; index++) {
                    int at = index;
                    assertTrue(Arrays.stream(history).anyMatch(h -> told(h[at]) == heard[at]));
                }
            }
        }
    }

    @Example
    void whatChangesMostIsToldAtOnce() {
        RouterList list = routers(180);
        LoadTeller teller = new LoadTeller(4, 18);
        int[] counts = new int[list.size()];
        int[] heard = new int[list.size()];
        LoadTeller.apply(teller.next(list, counts), list, heard);
        counts[170] = 25;
        LoadTeller.apply(teller.next(list, counts), list, heard);
        assertEquals(25, heard[170]);
    }

    @Example
    void aRunOfAnotherListIsPassedOverAndTagsAreStillUnderstood() {
        RouterList mine = routers(180);
        RouterList theirs = routers(170);
        LoadTeller teller = new LoadTeller(4, 18);
        int[] counts = new int[theirs.size()];
        Arrays.fill(counts, 1);
        int shared = theirs.index(RouterList.tag(5));
        counts[shared] = 30;
        LoadReport report = teller.next(theirs, counts);
        int[] heard = new int[mine.size()];
        LoadTeller.apply(report, mine, heard);
        long tagged =
                Arrays.stream(report.tags()).filter(t -> mine.index(t) >= 0).count();
        assertEquals(tagged, Arrays.stream(heard).filter(h -> h > 0).count());
        boolean apart = Arrays.stream(report.tags()).anyMatch(t -> t == RouterList.tag(5));
        assertEquals(apart ? 30 : 0, heard[mine.index(RouterList.tag(5))]);
    }

    @Example
    void whereThereAreNoRoutersNothingIsTold() {
        assertEquals(LoadReport.NONE, new LoadTeller(4, 18).next(RouterList.EMPTY, new int[0]));
    }
}
