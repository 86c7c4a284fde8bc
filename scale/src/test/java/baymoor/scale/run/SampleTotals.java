package baymoor.scale.run;

import baymoor.scale.hollow.Totals;
import java.util.List;
import java.util.Map;

/** Totals of two hollow balancers and one real one, after so many seconds of the same work in each. */
final class SampleTotals {

    static final int BALANCERS = 2;

    private SampleTotals() {}

    static Totals after(int seconds, long failures) {
        long micros = 1_000_000L * seconds;
        return new Totals(
                5_000_000 + micros,
                BALANCERS,
                40L * seconds,
                60L * seconds,
                4_000L * seconds,
                6_000L * seconds,
                200L * seconds,
                20L * seconds,
                2L * seconds,
                20L * seconds,
                2_000_000L * seconds,
                30_000_000L * seconds,
                10_000_000L * seconds,
                20_000_000L * seconds,
                120_000_000L * seconds,
                8_000_000,
                10L * seconds,
                9L * seconds,
                1L * seconds,
                3L * seconds,
                failures,
                0,
                400,
                1_200,
                450,
                1_300,
                7,
                Map.of("127.14.1.1:1", 15L * seconds, "127.14.1.2:1", 5L * seconds),
                List.of(10L * seconds),
                List.of(700L * seconds),
                List.of(11L * seconds),
                List.of());
    }

    /** Ten seconds of them. */
    static Figures figures(long failures) {
        return new Figures(List.of(after(10, 0)), List.of(after(20, failures)), List.of(after(21, failures)));
    }
}
