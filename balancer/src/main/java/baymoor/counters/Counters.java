package baymoor.counters;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** What came in, was sent and answered since the start. Any thread may count. */
public final class Counters {

    private final AtomicLongArray values = new AtomicLongArray(Count.values().length);

    /** Adds one to a counter. */
    public void add(Count counter) {
        values.incrementAndGet(counter.ordinal());
    }

    /** The present value of a counter. */
    public long get(Count counter) {
        return values.get(counter.ordinal());
    }

    /** One line a counter, {@code name:value}, zeros included so that a missing name is never a question. */
    public String report() {
        StringBuilder lines = new StringBuilder();
        for (Count counter : Count.values()) {
            lines.append(counter.name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(get(counter))
                    .append('\n');
        }
        return lines.append("invariants_broken:")
                .append(Invariant.broken())
                .append('\n')
                .toString();
    }
}
