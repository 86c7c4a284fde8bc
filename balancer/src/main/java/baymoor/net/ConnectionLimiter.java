package baymoor.net;

/**
 * Limits the number of open accepted connections; further ones wait in the listener's backlog. Without a limit a burst of
 * clients is accepted faster than the decision thread can evict idle ones, and takes every file descriptor: then no connection
 * to a host or to discovery can be opened, and MINA stops accepting for a second.
 *
 * <p>Thread-safe.
 */
final class ConnectionLimiter {

    /** Bounds the wait, so that a close that was never counted does not block accepting for good. */
    private static final long MAX_WAIT_NANOS = 1_000_000_000L;

    private final int maxConnections;
    private int openConnections;
    private boolean disabled;

    /** @param maxConnections the highest number of open connections, 0 for no limit */
    ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
        disabled = maxConnections <= 0;
    }

    /** Waits until a connection may be accepted, at most {@link #MAX_WAIT_NANOS}. */
    synchronized void awaitCapacity() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (!disabled && openConnections >= maxConnections) {
            long remainingNanos = deadlineNanos - System.nanoTime();
            if (remainingNanos <= 0) {
                return;
            }
            wait(remainingNanos / 1_000_000 + 1);
        }
    }

    synchronized void connectionOpened() {
        openConnections++;
    }

    synchronized void connectionClosed() {
        openConnections = Math.max(0, openConnections - 1);
        notifyAll();
    }

    /** Removes the limit before the listener closes, since connections still in its backlog would be lost. */
    synchronized void disable() {
        disabled = true;
        notifyAll();
    }
}
