package baymoor.scale.hollow;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.resp.RespWriter;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.Work;
import java.util.ArrayDeque;
import java.util.function.Function;

/** The clients of one balancer without sockets: requests come at random, each on a connection that waits for nothing else. */
final class DrawnClients {

    private static final int MOST_OPEN = 256;
    private static final byte ERROR = '-';

    private final DecisionLoop loop;
    private final DrawnWorld world;
    private final String name;
    private final Function<Link, LinkEvents> balancer;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private int open;
    private long asked;
    private boolean stopped;

    /** @param balancer takes a connection */
    DrawnClients(DecisionLoop loop, DrawnWorld world, String name, Function<Link, LinkEvents> balancer) {
        this.loop = loop;
        this.world = world;
        this.name = name;
        this.balancer = balancer;
    }

    /** Begins to ask. */
    void start() {
        if (world.asks()) {
            next();
        }
    }

    void stop() {
        stopped = true;
    }

    private void next() {
        loop.after(world.nextRequestMicros(), Work.TOOL, () -> {
            if (!stopped) {
                next();
                ask();
            }
        });
    }

    private void ask() {
        Connection connection = idle.pollLast();
        if (connection == null && open < MOST_OPEN) {
            connection = new Connection();
        }
        if (connection != null) {
            Connection taken = connection;
            byte[] command = command();
            loop.as(Work.SERVING, () -> taken.ask(command));
        }
    }

    private byte[] command() {
        Assignment.RequestKind kind = world.nextKind();
        byte[] key = RespWriter.utf8(Long.toHexString(0x9e3779b97f4a7c15L * (world.nextKey() + 1)));
        byte[] id = RespWriter.utf8(name + "-" + ++asked);
        byte[] facts = RespWriter.utf8("c=" + kind.name() + ",t=" + world.tenant() + ",d="
                + kind.deadlineMicros() / 1000 + ",h=" + kind.workMicros() + ",size=" + world.valueBytes());
        return kind.write()
                ? RespWriter.command(
                        RespWriter.utf8("OBJ.SET"), key, id, facts, RespWriter.utf8("v".repeat(world.valueBytes())))
                : RespWriter.command(RespWriter.utf8("OBJ.GET"), key, id, facts);
    }

    private final class Connection implements Link {
        private LinkEvents events;
        private boolean over;

        void ask(byte[] command) {
            if (events == null) {
                open++;
                events = balancer.apply(this);
                events.opened();
            }
            events.received(command);
        }

        @Override
        public void write(byte[] bytes) {
            loop.after(0, Work.SERVING, () -> {
                if (!over) {
                    events.written();
                }
            });
            loop.as(Work.TOOL, () -> {
                world.answered(bytes[0] != ERROR);
                idle.addLast(this);
            });
        }

        @Override
        public void close() {
            if (!over) {
                over = true;
                open--;
                idle.remove(this);
                loop.after(0, Work.SERVING, events::closed);
            }
        }

        @Override
        public void shutdownOutput(boolean evenIfUnread) {
            loop.after(0, Work.SERVING, () -> {
                if (!over) {
                    events.outputShutDown();
                    close();
                }
            });
            idle.remove(this);
        }

        @Override
        public boolean hasUnreadBytes() {
            return false;
        }

        @Override
        public boolean isClosed() {
            return over;
        }

        @Override
        public void setReading(boolean on) {
            // Its requests come one at a time.
        }
    }
}
