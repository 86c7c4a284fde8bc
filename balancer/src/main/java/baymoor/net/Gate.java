package baymoor.net;

/**
 * Bounds the connections that are accepted and not over. Danger: a crowd that comes at once is accepted faster than the decision
 * thread can make room, and takes every descriptor: then no router and no discovery can be called either, and MINA stops
 * accepting for a second. Who has to wait here waits in the listener's queue, until a connection is over.
 */
final class Gate {

    /** A count that was lost must not shut out everybody for good. */
    private static final long LONGEST_WAIT_NANOS = 1_000_000_000L;

    private final int most;
    private int open;
    private boolean wide;

    /** @param most connections at a time, 0 for no bound */
    Gate(int most) {
        this.most = most;
        wide = most <= 0;
    }

    /** Waits until there is room, a second at the most. */
    synchronized void await() throws InterruptedException {
        long until = System.nanoTime() + LONGEST_WAIT_NANOS;
        while (!wide && open >= most) {
            long left = until - System.nanoTime();
            if (left <= 0) {
                return;
            }
            wait(left / 1_000_000 + 1);
        }
    }

    synchronized void entered() {
        open++;
    }

    synchronized void left() {
        open = Math.max(0, open - 1);
        notifyAll();
    }

    /** Nobody waits any more: what is in the listener's queue when it closes would be lost. */
    synchronized void open() {
        wide = true;
        notifyAll();
    }
}
