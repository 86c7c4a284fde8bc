package baymoor.memory;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/** Accounts for the memory that clients make the program hold, by what it is held for. Thread-safe. */
public final class ClientMemory {

    /** What memory is held for. */
    public enum Part {
        /** Bytes read from clients' sockets that wait for the decision thread. */
        UNDELIVERED_INPUT,
        /** Commands that have been received in part. */
        PARTIAL_COMMANDS,
        /** Values of open writes. */
        REQUEST_VALUES,
        /** Replies that wait for earlier ones, or for the client to read. */
        UNSENT_REPLIES
    }

    /** The part of the heap that values of open writes may take is one over this. */
    private static final int REQUEST_VALUES_DIVISOR = 6;

    private final long maxRequestValueBytes;
    private final AtomicLongArray heldBytes = new AtomicLongArray(Part.values().length);
    private final AtomicLongArray peakBytes = new AtomicLongArray(Part.values().length);

    /** @param heapBytes the size of the heap, of which each part may take a share */
    public ClientMemory(long heapBytes) {
        maxRequestValueBytes = heapBytes / REQUEST_VALUES_DIVISOR;
    }

    /** Returns whether another open write with a value of this size is within the limit of the values. */
    public boolean hasRoomForValue(int bytes) {
        return held(Part.REQUEST_VALUES) + bytes <= maxRequestValueBytes;
    }

    /** Adds to a part, or releases from it where {@code bytes} is negative. */
    public void add(Part part, long bytes) {
        long held = heldBytes.addAndGet(part.ordinal(), bytes);
        peakBytes.accumulateAndGet(part.ordinal(), held, Math::max);
    }

    /** Returns the bytes held for a part. */
    public long held(Part part) {
        return heldBytes.get(part.ordinal());
    }

    /** Returns two lines {@code name:bytes} for each part: what is held, and the most that was held at once. */
    public String report() {
        StringBuilder lines = new StringBuilder();
        for (Part part : Part.values()) {
            String name = "held_" + part.name().toLowerCase(Locale.ROOT);
            lines.append(name).append(':').append(held(part)).append('\n');
            lines.append(name)
                    .append("_peak:")
                    .append(peakBytes.get(part.ordinal()))
                    .append('\n');
        }
        return lines.toString();
    }
}
