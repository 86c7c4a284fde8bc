package baymoor.south;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A router or the origin, with its idle connections and the attempts that wait for one. */
final class Host {
    final long id;
    InetSocketAddress address;
    /** Idle connections, the most recently used one last. That one is reused first, so that surplus connections time out. */
    final Deque<HostConnection> idleConnections = new ArrayDeque<>();

    final Deque<Attempt> queued = new ArrayDeque<>();
    int connectionCount;
    private final South south;

    Host(long id, South south) {
        this.id = id;
        this.south = south;
    }

    /** Adds a connection to the idle ones. */
    void addIdleConnection(HostConnection connection) {
        connection.idleSinceMicros = south.time.now();
        idleConnections.addLast(connection);
        south.hostsWithIdleConnections.add(this);
        south.scheduleAssignment();
    }

    /** Removes and returns the most recently used idle connection that can be reused, or null. */
    HostConnection takeIdleConnection() {
        HostConnection connection = idleConnections.pollLast();
        while (connection != null && !connection.reusable()) {
            connection.close();
            connection = idleConnections.pollLast();
        }
        updateIdleHosts();
        return connection;
    }

    /** Removes a connection from the idle ones, if it is one of them. */
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
