package merlinstep;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the split against shares calculated by hand from the paper's equations. */
class LedgerTest {

    private static int[] shares(long total, double[] weights, int[] draws) {
        int[] shares = new int[weights.length];
        for (int i = 0; i < shares.length; i++) {
            shares[i] = Rules.Ledger.share(total, weights, draws, i);
        }
        return shares;
    }

    private static int sum(int[] values) {
        int sum = 0;
        for (int v : values) {
            sum += v;
        }
        return sum;
    }

    @Test
    void theSurplusIsTakenFromTheLowestDraws() {
        // D = 10, B = 4: each ceil(10/4) = 3, P = 2; the lowest draws are 5 and 7.
        int[] shares = shares(10, new double[] {1, 1, 1, 1}, new int[] {9, 5, 7, 8});
        assertEquals("[3, 2, 2, 3]", java.util.Arrays.toString(shares));
    }

    @Test
    void equalDrawsAreOrderedByIndex() {
        int[] shares = shares(5, new double[] {1, 1, 1}, new int[] {4, 4, 4});
        // ceil(5/3) = 2 each, P = 1: taken from index 0.
        assertEquals("[1, 2, 2]", java.util.Arrays.toString(shares));
    }

    @Test
    void weightedSharesAreRoundedUp() {
        // D = 7, W = 3:1 -> ceil(5.25) = 6 and ceil(1.75) = 2, P = 1 from the lower draw.
        int[] shares = shares(7, new double[] {3, 1}, new int[] {1, 2});
        assertEquals("[5, 2]", java.util.Arrays.toString(shares));
    }

    @Test
    void aBalancerWithoutWeightGetsAndReturnsNothing() {
        int[] shares = shares(3, new double[] {0, 1, 1}, new int[] {0, 5, 6});
        assertEquals("[0, 1, 2]", java.util.Arrays.toString(shares));
    }

    @Test
    void sharesAddUpToTheTotal() {
        Random random = new Random(7);
        for (int round = 0; round < 20_000; round++) {
            int balancers = 1 + random.nextInt(60);
            long total = random.nextInt(400);
            double[] weights = new double[balancers];
            int[] draws = new int[balancers];
            for (int i = 0; i < balancers; i++) {
                weights[i] = random.nextInt(3) == 0 ? 1 : random.nextDouble() * 50;
                draws[i] = random.nextInt(20); // many ties
            }
            assertEquals(total, sum(shares(total, weights, draws)), "B " + balancers + " D " + total);
        }
    }

    @Test
    void contentionGivesEachBalancerF() {
        // X T / K = 8 per subperiod, B = 4: F = 2 (equation 10).
        for (int i = 0; i < 4; i++) {
            assertEquals(2, Rules.Ledger.contendedShare(100, 8, new double[] {1, 1, 1, 1}, i, 11));
        }
    }

    @Test
    void contentionRotatesCreditsWhereFIsZero() {
        double[] weights = {1, 1, 1, 1};
        int[] received = new int[4];
        for (int step = 0; step < 400; step++) {
            int all = 0;
            for (int i = 0; i < 4; i++) {
                int own = Rules.Ledger.contendedShare(100, 1, weights, i, step);
                received[i] += own;
                all += own;
            }
            assertEquals(1, all, "one credit per subperiod, to one balancer");
        }
        for (int g : received) {
            assertEquals(100, g, 3);
        }
    }

    @Test
    void contentionNeverExceedsTheTotal() {
        Random random = new Random(11);
        for (int round = 0; round < 5_000; round++) {
            int balancers = 1 + random.nextInt(40);
            double[] weights = new double[balancers];
            for (int i = 0; i < balancers; i++) {
                weights[i] = random.nextDouble() * 9;
            }
            double perSubperiod = random.nextDouble() * 30;
            long total = random.nextInt(30);
            long step = random.nextInt(100_000);
            int all = 0;
            for (int i = 0; i < balancers; i++) {
                all += Rules.Ledger.contendedShare(total, perSubperiod, weights, i, step);
            }
            assertTrue(
                    all <= Math.min(total, Math.ceil(perSubperiod)),
                    balancers + " " + perSubperiod + " " + total + " -> " + all);
        }
    }

    @Test
    void weightIsTheLogarithmOfEquationSix() {
        Rules.Ledger ledger = new Rules(Timeline.settings(0, 2, 6)).ledger;
        double workInSubperiod = Rules.WORK_MICROS_PER_SEC * ledger.subperiodMicros / 1e6;
        assertEquals(2, ledger.weight(workInSubperiod / 100), 1e-9);
        assertEquals(0, ledger.weight(workInSubperiod * 10), 1e-9);
    }

    @Test
    void subperiodsGrowWithTheNumberOfBalancersUnderAFixedCpuAllowance() {
        Decisions.Settings few = settingsWithCpuLimit(2);
        Decisions.Settings many = settingsWithCpuLimit(90);
        assertEquals(Rules.MIN_SUBPERIOD_MICROS, new Rules(few).ledger.subperiodMicros);
        assertTrue(new Rules(many).ledger.subperiodMicros >= 4 * Rules.MIN_SUBPERIOD_MICROS);
    }

    private static Decisions.Settings settingsWithCpuLimit(int balancers) {
        Decisions.Settings s = Timeline.settings(0, balancers, 6);
        Decisions.Limits l = s.limits();
        Decisions.Limits limits = new Decisions.Limits(
                l.maxAttempts(),
                l.maxOpen(),
                l.secondCopies(),
                l.mayCancel(),
                l.mayProbe(),
                l.mayTellPeers(),
                l.retryAfter(),
                l.maxRetryAfterMicros(),
                l.connectTimeoutMicros(),
                l.idleCloseMicros(),
                l.streamsPerConnection(),
                15_000,
                0);
        return new Decisions.Settings(
                0,
                balancers,
                1,
                s.zone(),
                s.zones(),
                s.kinds(),
                s.tiers(),
                0,
                s.classes(),
                s.tenants(),
                s.membership(),
                s.origin(),
                limits,
                s.rules(),
                s.prices(),
                s.goal(),
                s.reports(),
                s.reportFields(),
                s.weights(),
                false,
                0.1,
                false,
                5_000);
    }
}
