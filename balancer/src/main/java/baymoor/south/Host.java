package baymoor.south;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A router or the origin, with its idle connections and the attempts that wait for a connection. */
final class Host {
    final long id;
    InetSocketAddress address;
    /** Idle connections, the most recently used last. The last is reused first, so that unneeded ones reach their time-out. */
    final Deque<HostConnection> idleConnections = new ArrayDeque<>();

    final Deque<Attempt> queued = new ArrayDeque<>();
    int connectionCount;
    private final South south;

    Host(long id, South south) {
        this.id = id;
        this.south = south;
    }

    /** Adds a connection to the idle ones and lets a waiting attempt use it. */
    void addIdleConnection(HostConnection connection) {
        connection.idleSinceMicros = south.time.now();
        idleConnections.addLast(connection);
        south.hostsWithIdleConnections.add(this);
        south.scheduleAssignment();
    }

    /** Removes and returns the most recently used idle connection that is reusable, or null; closes those that are not. */
    HostConnection takeIdleConnection() {
        HostConnection connection = idleConnections.pollLast();
        while (connection != null && !connection.reusable()) {
            connection.close();
            connection = idleConnections.pollLast();
        }
        updateIdleHosts();
        return connection;
    }

    /** Removes a connection from the idle ones, if it is there. */
    void removeIdleConnection(HostConnection connection) {
        idleConnections.remove(connection);
        updateIdleHosts();
    }

    private void updateIdleHosts() {
        if (idleConnections.isEmpty()) {
            south.hostsWithIdleConnections.remove(this);
        }
    }

    void closeIdleConnections() {
        for (HostConnection connection : idleConnections.toArray(new HostConnection[0])) {
            connection.close();
        }
    }
}
