package baymoor.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how long an accepted connection has waited in the listener's queue. The system does not tell when it arrived there, but
 * it was not before the queue was last empty, nor before as many others were accepted as the queue holds.
 *
 * <p>Not thread-safe; used on the acceptor's thread.
 */
final class AcceptQueue {

    private final int capacity;
    /** When the last connections were accepted, the oldest first: one more than the queue holds, if so many were accepted. */
    private final Deque<Long> acceptedNanos = new ArrayDeque<>();

    private long emptyNanos;

    /**
     * Creates the state of a queue that is empty.
     *
     * @param capacity the most connections that wait at once
     */
    AcceptQueue(int capacity, long nowNanos) {
        this.capacity = capacity;
        emptyNanos = nowNanos;
    }

    /** Records that no connection was waiting at a time. */
    void foundEmpty(long atNanos) {
        emptyNanos = atNanos;
        acceptedNanos.clear();
    }

    /** Records that a connection has been accepted, and returns the microseconds that it waited at most. */
    long accepted(long nowNanos) {
        long earliestNanos = acceptedNanos.size() > capacity ? acceptedNanos.pollFirst() : emptyNanos;
        acceptedNanos.addLast(nowNanos);
        return TimeUnit.NANOSECONDS.toMicros(nowNanos - earliestNanos);
    }
}
