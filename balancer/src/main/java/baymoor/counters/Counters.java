package baymoor.counters;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counts events of one balancer since its start. Thread-safe. */
public final class Counters {

    private final AtomicLongArray values = new AtomicLongArray(Count.values().length);

    /** Increments a counter by one. */
    public void increment(Count counter) {
        values.incrementAndGet(counter.ordinal());
    }

    /** Returns the value of a counter. */
    public long get(Count counter) {
        return values.get(counter.ordinal());
    }

    /** Returns one line {@code name:value} for each counter, including those that are zero. */
    public String report() {
        StringBuilder lines = new StringBuilder();
        for (Count counter : Count.values()) {
            lines.append(counter.name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(get(counter))
                    .append('\n');
        }
        return lines.append("invariants_broken:")
                .append(Invariant.violations())
                .append('\n')
                .toString();
    }
}
