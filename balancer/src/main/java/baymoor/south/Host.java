package baymoor.south;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A south side host and its connections. */
final class Host {
    final long id;
    InetSocketAddress address;
    /** Idle connections, the one used last at the end: that one is taken first, so that the others may age and go. */
    final Deque<HostConnection> idle = new ArrayDeque<>();

    final Deque<Attempt> waiting = new ArrayDeque<>();
    int connectionCount;
    private final South south;

    Host(long id, South south) {
        this.id = id;
        this.south = south;
    }

    /** A connection has nothing to do. */
    void free(HostConnection connection) {
        connection.idleSinceMicros = south.time.now();
        idle.addLast(connection);
        south.resting.add(this);
        south.serveWaiting();
    }

    /** The idle connection used last, or null. */
    HostConnection takeIdle() {
        HostConnection connection = idle.pollLast();
        while (connection != null && !connection.clean()) {
            connection.close();
            connection = idle.pollLast();
        }
        rested();
        return connection;
    }

    /** A connection is no longer one that may be taken. */
    void dropIdle(HostConnection connection) {
        idle.remove(connection);
        rested();
    }

    private void rested() {
        if (idle.isEmpty()) {
            south.resting.remove(this);
        }
    }

    void closeIdle() {
        for (HostConnection connection : idle.toArray(new HostConnection[0])) {
            connection.close();
        }
    }
}
