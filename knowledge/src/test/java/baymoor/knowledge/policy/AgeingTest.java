package baymoor.knowledge.policy;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import baymoor.knowledge.data.Knowledge;
import baymoor.knowledge.data.Knowledge.Host;
import baymoor.knowledge.data.Knowledge.Key;
import baymoor.knowledge.data.Knowledge.Origin;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.Test;

/** What old knowledge may still say. */
public class AgeingTest {

    private static final long NOW = 1_700_000_000_000L;
    private static final Ageing.HalfLives LIVES = new Ageing.HalfLives(1_000, 10_000, 5_000, 8_000, 0.5);
    private static final LongFunction<Ageing.Listed> LISTED = id -> new Ageing.Listed(0);

    private final Ageing ageing = new Ageing(LIVES, new Ageing.Fresh(16, 100_000, 10, 1.5, 23_000));

    private static Host host(long at, double limit) {
        return new Host(1, 0, at, 40, 20_000, limit, 0.4, true);
    }

    private Knowledge weigh(Host host, LongFunction<Ageing.Listed> list) {
        return ageing.weigh(new Knowledge("a", NOW, 9, List.of(host), List.of(), null), NOW, list);
    }

    @Test
    public void whatIsFreshIsBelieved() {
        assertEquals(host(NOW, 64), weigh(host(NOW, 64), LISTED).hosts().get(0));
    }

    @Test
    public void figuresGoBackToTheUnknownByHalfLives() {
        Host h = weigh(host(NOW - 10_000, 64), LISTED).hosts().get(0);
        assertEquals(16 + 48 / 2.0, h.limit(), 1e-9);
        assertEquals(60_000, h.latencyMicros(), 1e-6);
        assertEquals(20, h.support(), 1e-9);
        assertEquals(0.4 / 1024, h.failing(), 1e-9);
        assertFalse("out of use ten half-lives ago says nothing", h.out());
        assertEquals("learned when it was learned", NOW - 10_000, h.learnedAt());
    }

    @Test
    public void aWeekOldSaysNothing() {
        long week = 7 * 24 * 3_600_000L;
        Knowledge old = new Knowledge(
                "a",
                NOW - week,
                9,
                List.of(host(NOW - week, 64)),
                List.of(new Key(7, NOW - week, 1e6, 500)),
                new Origin(NOW - week, 1e6, 50, 9));
        Knowledge left = ageing.weigh(old, NOW, LISTED);
        assertTrue(left.hosts().isEmpty() && left.keys().isEmpty());
        assertNull(left.origin());
    }

    @Test
    public void aProcessThatStartedSinceOrIsNotListedIsForgotten() {
        assertTrue(weigh(host(NOW - 100, 64), id -> new Ageing.Listed(NOW - 50))
                .hosts()
                .isEmpty());
        assertTrue(
                "also where the list is behind",
                weigh(host(NOW - 100, 64), id -> new Ageing.Listed(NOW - 9_000))
                        .hosts()
                        .isEmpty());
        assertTrue(weigh(host(NOW - 100, 64), id -> null).hosts().isEmpty());
    }

    @Test
    public void knowledgeFromTheFutureOfAClockSetBackSaysNothing() {
        assertTrue(weigh(host(NOW + 1, 64), LISTED).hosts().isEmpty());
    }

    @Test
    public void nothingRecalledLiftsWhatAColdHostIsSent() {
        long since = NOW - 5_000;
        Host warmed = new Host(1, since, NOW - 100, 40, 20_000, 64, 0, false);
        assertEquals(
                16, weigh(warmed, id -> new Ageing.Listed(since)).hosts().get(0).limit(), 1e-9);
        Host careful = new Host(1, since, NOW - 100, 40, 20_000, 2, 0, false);
        assertTrue(
                "but it may lower it",
                weigh(careful, id -> new Ageing.Listed(since)).hosts().get(0).limit() < 3);
    }

    @Test
    public void theOriginIsAskedForNoMoreThanOnePeriodCouldProve() {
        Knowledge k = new Knowledge("a", NOW, 9, List.of(), List.of(), new Origin(NOW, 40, 500, 9));
        assertEquals(15, ageing.weigh(k, NOW, LISTED).origin().perSecond(), 1e-9);
        Knowledge low = new Knowledge("a", NOW, 9, List.of(), List.of(), new Origin(NOW, 40, 3, 9));
        assertEquals(
                "a low one is believed",
                3,
                ageing.weigh(low, NOW, LISTED).origin().perSecond(),
                1e-9);
    }
}
