package baymoor.south;

import baymoor.memory.ClientMemory;
import baymoor.memory.ClientMemory.Part;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Shares out the memory for answers of hosts that are larger than a connection's window. An answer is read on only once its whole
 * size is reserved, so that what has been begun can be finished; until then its connection is not read, and the host is held back.
 */
final class AnswerMemory {

    /** What waits in the window of a connection comes on top of its reservation. */
    private static final int MAX_RESERVED_WINDOW_BYTES = 16 * 1024;

    private final ClientMemory memory;
    /** Connections that wait for a reservation, in order. */
    private final Deque<HostConnection> waiting = new ArrayDeque<>();

    AnswerMemory(ClientMemory memory) {
        this.memory = memory;
    }

    /** Returns how many bytes of an answer a connection may hold without a reservation. */
    int windowBytes() {
        return memory.connectionWindowBytes();
    }

    /** Returns how many bytes may wait to be delivered on a connection that has reserved so many for its answer. */
    int reservedWindowBytes(int reservedBytes) {
        return Math.max(windowBytes(), Math.min(MAX_RESERVED_WINDOW_BYTES, reservedBytes));
    }

    /**
     * Reserves what a connection is missing. Without room it waits until {@link HostConnection#reserved} is called. What is missing
     * of an answer that has been begun is always granted, as the messages' own limits bound it.
     */
    boolean tryReserve(HostConnection connection) {
        if (connection.hasReservation()) {
            memory.add(Part.HOST_ANSWERS, connection.missingBytes());
            return true;
        }
        boolean reserved = waiting.isEmpty() && memory.tryReserve(Part.HOST_ANSWERS, connection.missingBytes());
        if (!reserved && !waiting.contains(connection)) {
            waiting.addLast(connection);
        }
        return reserved;
    }

    /** Releases what a connection has reserved, and no longer lets it wait. */
    void release(HostConnection connection, int bytes) {
        waiting.remove(connection);
        memory.add(Part.HOST_ANSWERS, -bytes);
        while (!waiting.isEmpty()
                && memory.tryReserve(Part.HOST_ANSWERS, waiting.peekFirst().missingBytes())) {
            waiting.pollFirst().reserved();
        }
    }
}
