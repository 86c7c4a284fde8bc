package baymoor.emulator.world;

import java.util.List;
import java.util.Locale;

/** A router's load report, sampled at intervals and therefore slightly stale when it is read. Not thread-safe. */
final class LoadReporter {

    /** Names of the reported fields, as in the balancer's settings. */
    static final List<String> FIELD_NAMES = List.of("outstanding", "backlog", "utilization");

    private static final long REFRESH_MICROS = 100_000;

    private final int slots;
    private long sampledAt = Long.MIN_VALUE / 2;
    private String latest = "";

    LoadReporter(int slots) {
        this.slots = slots;
    }

    /** Returns the latest sample as names and values; samples again if it is too old. */
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
