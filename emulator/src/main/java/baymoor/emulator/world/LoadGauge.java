package baymoor.emulator.world;

import java.util.List;
import java.util.Locale;

/** A router's report of its load: read off now and then, so that it is a little old whenever it is told. */
final class LoadGauge {

    /** What is reported, in the words of the settings. */
    static final List<String> NAMES = List.of("outstanding", "backlog", "utilization");

    private static final long REFRESH_MICROS = 100_000;

    private final int slots;
    private long readAt = Long.MIN_VALUE / 2;
    private String text = "";

    LoadGauge(int slots) {
        this.slots = slots;
    }

    /** Names and values as they were read off last. */
    String read(long now, Station station) {
        if (now - readAt >= REFRESH_MICROS) {
            readAt = now;
            text = String.format(
                    Locale.ROOT,
                    "outstanding=%d,backlog=%d,utilization=%.2f",
                    station.inWork(),
                    station.waiting(),
                    Math.min(1, (double) station.inWork() / slots));
        }
        return text;
    }
}
