package baymoor.emulator.world;

import java.util.List;
import java.util.Locale;

/** A router's report of its load: read off now and then, so that it is a little old whenever it is told. */
final class LoadGauge {

    /** What is reported, in the words of the settings. */
    static final List<String> NAMES = List.of("outstanding", "backlog", "utilization");

    private static final long REFRESH_MICROS = 100_000;

    private final int slots;
    private long sampledAt = Long.MIN_VALUE / 2;
    private String latest = "";

    LoadGauge(int slots) {
        this.slots = slots;
    }

    /** Names and values as they were read off last. */
    String report(long now, ProcessorSharingServer server) {
        if (now - sampledAt >= REFRESH_MICROS) {
            sampledAt = now;
            latest = String.format(
                    Locale.ROOT,
                    "outstanding=%d,backlog=%d,utilization=%.2f",
                    server.runningCount(),
                    server.waitingCount(),
                    Math.min(1, (double) server.runningCount() / slots));
        }
        return latest;
    }
}
