package baymoor.tier.simulation;

import org.junit.Test;

public class GroupTierTest {
    @Test
    public void smoke() {
        for (int n : new int[] {20, 100, 640}) {
            GroupTier t = new GroupTier(TestPlaces.of(n), 7, 10_000);
            double x = 5 * n;
            for (int b = 0; b < n; b++) {
                t.learned(b, x);
                t.misses(b, b % 4 == 0 ? 20 : 3);
            }
            for (int s = 0; s < 30; s++) {
                t.fetchedInSecond = 0;
                if (s == 15) t.network.resetCounts();
                t.pass(1_000_000);
                int h = 0;
                double ages = 0;
                for (int b = 0; b < n; b++) {
                    h = Math.max(h, t.exchange(b).leases(t.clock(b)));
                    ages += t.outsideAge(b);
                }
                System.out.printf(
                        "%d s%d parts %.4f fetched %.3f holder %d age %.2f rate %.0f%n",
                        n,
                        s,
                        t.partsTogether(),
                        t.fetchedInSecond / x,
                        h,
                        ages / n,
                        t.exchange(n - 1).rate(t.clock(n - 1)));
            }
            long most = 0, sum = 0, mm = 0;
            for (int b = 0; b < n; b++) {
                long v = t.network.sentBytes[b] + t.network.heardBytes[b];
                most = Math.max(most, v);
                sum += v;
                mm = Math.max(mm, t.network.sentMessages[b] + t.network.heardMessages[b]);
            }
            System.out.printf("%d most %d B/s mean %d most msgs %d%n", n, most / 15, sum / 15 / n, mm / 15);
        }
    }
}
