package merlinstep;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;

import baymoor.tier.message.GroupMessage;
import baymoor.tier.message.LoadReport;
import baymoor.tier.message.MessageCodec;
import baymoor.tier.message.PreviousVersion;
import baymoor.tier.message.Totals;
import baymoor.tier.place.Level;
import baymoor.tier.split.Split;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Prices;
import merlinstep.Decisions.Reports;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Settings;
import merlinstep.Decisions.Weights;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.Assert;

/** Compares the split and the messages with those of the decision module, whose package this is in. */
class SameSplitTest {

    private static final String SEED = "4712";

    @Property(seed = SEED, tries = 400)
    void sharesEqualThoseOfTheDecisionModule(
            @ForAll @IntRange(min = 1, max = 700) int balancers,
            @ForAll @LongRange(min = 0, max = 5_000) long total,
            @ForAll long seed) {
        Random random = new Random(seed);
        int drawRange = random.nextBoolean() ? 4 : 1 << 16; // ties are common
        double[] weights = new double[balancers];
        int[] draws = new int[balancers];
        for (int i = 0; i < balancers; i++) {
            weights[i] = random.nextInt(4) == 0 ? 0 : random.nextInt(3) == 0 ? 1 : 10 * random.nextDouble();
            draws[i] = random.nextInt(drawRange);
        }
        long[] shares = Split.shares(total, weights, draws);
        for (int i = 0; i < balancers; i++) {
            assertEquals(Rules.Ledger.share(total, weights, draws, i), shares[i]);
        }
        if (Arrays.stream(weights).sum() > 0) {
            assertEquals(total, Arrays.stream(shares).sum());
        }
    }

    @Property(seed = SEED, tries = 200)
    void statesOfThePreviousVersionAreDecoded(
            @ForAll @IntRange(min = 0, max = 0xffff) int fetched,
            @ForAll @IntRange(min = 0, max = 0xffff) int queued,
            @ForAll @IntRange(min = 0, max = 70) int routers,
            @ForAll @IntRange(min = 0, max = 0xffff) int draw)
            throws Exception {
        PeerStatus status = new PeerStatus(7, 130, fetched, queued, 6.5f, 3, draw, 11, 250f, 1, 2L, 3);
        byte[] datagram = status.encode(99, 12, new byte[3 * routers]);
        PreviousVersion.Figures decoded = PreviousVersion.decode(datagram);
        assertEquals(99, decoded.incarnation());
        assertEquals(12, decoded.sequence());
        assertEquals(new Totals(1, fetched, queued, 6.5f, 3, draw, 250f, 0, 0, 0), decoded.totals());
    }

    @net.jqwik.api.Example
    void thePreviousVersionIgnoresGroupMessages() {
        Rules rules = new Rules(settings(3));
        rules.decide(5_000_000, new Decisions.TimerFired(0), action -> {});
        Totals totals = new Totals(1, 1, 1, 1, 1, 1, 1, 1, 1, 1);
        GroupMessage message =
                new GroupMessage(Level.SITE, 0, 1, 1, 0, 5, 1, true, 1, null, null, totals, LoadReport.NONE, null);
        rules.decide(5_100_000, new Decisions.PeerMessage(1, MessageCodec.encode(message)), action -> {});
        Assert.assertEquals(Long.MIN_VALUE, rules.peers.all[1].heardMicros);
        byte[] own = PeerStatus.NONE.encode(1, 1, CacheLoads.NONE);
        rules.decide(5_200_000, new Decisions.PeerMessage(1, own), action -> {});
        assertFalse(Long.MIN_VALUE == rules.peers.all[1].heardMicros);
    }

    private static Settings settings(int balancers) {
        return new Settings(
                0,
                balancers,
                42,
                "here",
                List.of("here"),
                List.of("plain", "origin"),
                List.of("tier"),
                0,
                List.of(),
                List.of(),
                Membership.PUSH,
                new Origin(Mode.ASIDE, 1, 3, 3_000_000),
                new Limits(6, 20_000, false, true, false, true, true, 2_000_000, 150_000, 30_000_000, 1, 0, 0),
                new RuleFigures(20_000, 1_000_000, 10_000_000, 0.3, 8_000_000, 3, 1_000_000),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                new Goal(1, 0, 0, 0),
                Reports.NONE,
                List.of(),
                Weights.NONE,
                false,
                0.1,
                false,
                5_000);
    }
}
