package baymoor.south;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;

/** A south side host and its connections. */
final class Host {
    final long id;
    InetSocketAddress address;
    /** Idle connections, the one used last at the end: that one is taken first, so that the others may age and go. */
    final Deque<Lane> idle = new ArrayDeque<>();

    final Deque<Relay> waiting = new ArrayDeque<>();
    int lanes;
    private final South south;

    Host(long id, South south) {
        this.id = id;
        this.south = south;
    }

    /** A connection has nothing to do. */
    void free(Lane lane) {
        lane.idleSinceMicros = south.time.now();
        idle.addLast(lane);
        south.resting.add(this);
        south.serveWaiting();
    }

    /** The idle connection used last, or null. */
    Lane takeIdle() {
        Lane lane = idle.pollLast();
        while (lane != null && !lane.clean()) {
            lane.close();
            lane = idle.pollLast();
        }
        rested();
        return lane;
    }

    /** A connection is no longer one that may be taken. */
    void dropIdle(Lane lane) {
        idle.remove(lane);
        rested();
    }

    private void rested() {
        if (idle.isEmpty()) {
            south.resting.remove(this);
        }
    }

    void closeIdle() {
        for (Lane lane : idle.toArray(new Lane[0])) {
            lane.close();
        }
    }
}
