package baymoor.net;

/**
 * Bounds the connections that are accepted and not over. Danger: a crowd that comes at once is accepted faster than the decision
 * thread can make room, and takes every descriptor: then no router and no discovery can be called either, and MINA stops
 * accepting for a second. Who has to wait here waits in the listener's queue, until a connection is over.
 */
final class ConnectionLimiter {

    /** A count that was lost must not shut out everybody for good. */
    private static final long MAX_WAIT_NANOS = 1_000_000_000L;

    private final int maxConnections;
    private int openConnections;
    private boolean disabled;

    /** @param maxConnections connections at a time, 0 for no bound */
    ConnectionLimiter(int maxConnections) {
        this.maxConnections = maxConnections;
        disabled = maxConnections <= 0;
    }

    /** Waits until there is room, a second at the most. */
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

    /** Nobody waits any more: what is in the listener's queue when it closes would be lost. */
    synchronized void disable() {
        disabled = true;
        notifyAll();
    }
}
