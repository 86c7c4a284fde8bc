package baymoor.counters;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** What came in, was sent and answered since the start. Any thread may count. */
public final class Counters {

    private final AtomicLongArray values = new AtomicLongArray(Count.values().length);

    /** Adds one to a counter. */
    public void add(Count what) {
        values.incrementAndGet(what.ordinal());
    }

    /** The present value of a counter. */
    public long get(Count what) {
        return values.get(what.ordinal());
    }

    /** One line a counter, {@code name:value}, zeros included so that a missing name is never a question. */
    public String report() {
        StringBuilder text = new StringBuilder();
        for (Count c : Count.values()) {
            text.append(c.name().toLowerCase(Locale.ROOT))
                    .append(':')
                    .append(get(c))
                    .append('\n');
        }
        return text.append("invariants_broken:")
                .append(Invariant.broken())
                .append('\n')
                .toString();
    }
}
