package baymoor.south;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A router or the origin, with its idle connections and the attempts that wait for one. */
final class Host {
    final long id;
    InetSocketAddress address;
    /** Idle connections, the most recently used one last. That one is reused first, so that surplus connections time out. */
    final Deque<HostConnection> idle = new ArrayDeque<>();

    final Deque<Attempt> waiting = new ArrayDeque<>();
    int connectionCount;
    private final South south;

    Host(long id, South south) {
        this.id = id;
        this.south = south;
    }

    /** Adds a connection to the idle ones. */
    void release(HostConnection connection) {
        connection.idleSinceMicros = south.time.now();
        idle.addLast(connection);
        south.hostsWithIdle.add(this);
        south.serveWaiting();
    }

    /** Removes and returns the most recently used idle connection that can be reused, or null. */
    HostConnection takeIdle() {
        HostConnection connection = idle.pollLast();
        while (connection != null && !connection.reusable()) {
            connection.close();
            connection = idle.pollLast();
        }
        rested();
        return connection;
    }

    /** Removes a connection from the idle ones, if it is one of them. */
    void dropIdle(HostConnection connection) {
        idle.remove(connection);
        rested();
    }

    private void rested() {
        if (idle.isEmpty()) {
            south.hostsWithIdle.remove(this);
        }
    }

    void closeIdle() {
        for (HostConnection connection : idle.toArray(new HostConnection[0])) {
            connection.close();
        }
    }
}
