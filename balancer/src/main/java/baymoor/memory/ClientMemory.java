package baymoor.memory;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * The budget for the memory that clients can make the program hold, on their own connections and by their requests on those of
 * hosts. Each connection has a small window of its own, so that usual
 * commands are read whatever other clients hold; what needs more is charged to a part of the heap, and rejected if the part is
 * used up. Thread-safe.
 */
public final class ClientMemory {

    /** What memory is held for. */
    public enum Part {
        /** Bytes read from clients' sockets that wait for the decision thread; limited by the connections' windows. */
        UNDELIVERED_INPUT(1),
        /** Commands larger than a connection's window that have been received in part. */
        PARTIAL_COMMANDS(12),
        /** Open requests without their values. */
        OPEN_REQUESTS(8),
        /** Values of open writes. */
        REQUEST_VALUES(8),
        /** Answers of hosts larger than a connection's window that have been received in part. */
        HOST_ANSWERS(10),
        /** Replies that wait for earlier ones, or for the client to read. */
        UNSENT_REPLIES(6);

        private final int heapDivisor;

        /** @param heapDivisor the part may take one over this of the heap */
        Part(int heapDivisor) {
            this.heapDivisor = heapDivisor;
        }
    }

    /** The windows of all connections together take one over this of the heap. */
    private static final int WINDOWS_HEAP_DIVISOR = 32;

    private static final int MIN_WINDOW_BYTES = 1024;
    private static final int MAX_WINDOW_BYTES = 8 * 1024;

    private final long heapBytes;
    private final int connectionWindowBytes;
    private final AtomicLongArray heldBytes = new AtomicLongArray(Part.values().length);
    private final AtomicLongArray peakBytes = new AtomicLongArray(Part.values().length);

    /**
     * Divides the heap.
     *
     * @param heapBytes      the size of the heap
     * @param maxConnections the highest number of open client connections
     */
    public ClientMemory(long heapBytes, int maxConnections) {
        this.heapBytes = heapBytes;
        long evenShare = heapBytes / WINDOWS_HEAP_DIVISOR / Math.max(1, maxConnections);
        connectionWindowBytes = (int) Math.max(MIN_WINDOW_BYTES, Math.min(MAX_WINDOW_BYTES, evenShare));
    }

    /**
     * Returns how many bytes of input each connection may hold without a reservation: as many may wait for the decision thread,
     * and as many may belong to a partial command.
     */
    public int connectionWindowBytes() {
        return connectionWindowBytes;
    }

    /** Returns whether a part has room for so many more bytes. */
    public boolean hasRoom(Part part, long bytes) {
        return held(part) + bytes <= limit(part);
    }

    /** Returns how many bytes a part may take. */
    public long limit(Part part) {
        return heapBytes / part.heapDivisor;
    }

    /** Charges a part, unless it has no room; returns whether it was charged. */
    public boolean tryReserve(Part part, long bytes) {
        boolean reserved = hasRoom(part, bytes);
        if (reserved) {
            add(part, bytes);
        }
        return reserved;
    }

    /** Charges a part whether or not it has room, or releases from it where {@code bytes} is negative. */
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
