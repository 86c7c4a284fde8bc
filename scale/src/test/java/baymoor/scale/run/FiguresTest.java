package baymoor.scale.run;

import static org.junit.Assert.assertEquals;

import java.util.Map;
import org.junit.Test;

/** Figures are what grew in the time that counts, a second and a balancer. */
public class FiguresTest {

    private static final double CLOSE = 1e-9;

    private final Figures figures = SampleTotals.figures(0);
    private final Map<String, Double> hollow = figures.hollow();

    private void is(double expected, String figure) {
        assertEquals(figure, expected, hollow.get(figure), CLOSE);
    }

    @Test
    public void messagesAndBytesAreASecondAndABalancer() {
        assertEquals(10, figures.seconds(), CLOSE);
        is(20, "messagesInPerSecond");
        is(30, "messagesOutPerSecond");
        is(2_000 + 100, "bytesInPerSecond");
        is(3_000 + 10, "bytesOutPerSecond");
        is(20 * 28 + 52, "headerBytesInPerSecond");
        is(30 * 28 + 52, "headerBytesOutPerSecond");
        is(100, "discoveryBytesInPerSecond");
    }

    @Test
    public void aProcessesTimeIsPartedByWhatItsThreadsDid() {
        // 60 ms a second on events, 120 ms of processor time: each event cost twice what was seen of it.
        is(0.030, "cpuControlSecondsPerSecond");
        is(0.010, "cpuServingSecondsPerSecond");
        is(200, "tickMicros");
        assertEquals(0.002, figures.servingPerRequest(), CLOSE);
    }

    @Test
    public void memoryIsThatAfterACollection() {
        is(4_000_000, "memoryBytes");
    }

    @Test
    public void messagesOfARealOneAreAsLongAsTheHollowOnesHearThem() {
        assertEquals(70, figures.meanRealMessageBytes(0), CLOSE);
        assertEquals(100, figures.meanMessageBytes(), CLOSE);
    }

    @Test
    public void spreadIsTheMostAgainstTheMeanOfAllRouters() {
        assertEquals(1.5, figures.loadSpread(2), CLOSE);
        assertEquals(3, figures.loadSpread(4), CLOSE);
    }
}
