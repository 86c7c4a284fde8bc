package baymoor.scale.hollow;

import baymoor.assembly.Assembly;
import baymoor.config.Config;
import baymoor.config.ConfigException;
import baymoor.config.Settings;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.dispatch.Dispatcher;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.memory.ClientMemory;
import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.PeerSocket;
import baymoor.scale.loop.RunClock;
import baymoor.scale.loop.StreamLink;
import baymoor.scale.loop.Work;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A balancer with the product's whole control path over real sockets, whose clients and hosts are drawn. All of it belongs to
 * the thread of its loop.
 */
final class HollowBalancer {

    /** A version of the list, and when it was known here, on the clock of all processes; {@code atStart} from its configuration. */
    record Known(long version, long atMicros, boolean atStart) {}

    /** What the balancers of one process have in common. */
    record Surroundings(
            Assignment assignment,
            RunClock clock,
            PlaceNetwork network,
            List<InetSocketAddress> addresses,
            Map<InetSocketAddress, Integer> numbers,
            Consumer<String> log) {}

    private static final long HEAP_BYTES = 24 << 20;
    private static final int MAX_CLIENT_CONNECTIONS = 512;

    private final int number;
    private final DecisionLoop loop;
    private final Surroundings around;
    private final DrawnWorld world;
    private final Traffic traffic;
    private final List<Known> known = new ArrayList<>();
    private Life life;

    HollowBalancer(int number, DecisionLoop loop, Surroundings around, DrawnWorld world) {
        this.number = number;
        this.loop = loop;
        this.around = around;
        this.world = world;
        traffic =
                new Traffic(around.assignment().balancers(), around.assignment().real());
    }

    /** From its start to its end; what a former one set going does nothing any more. */
    private final class Life implements Time {
        private final Counters counters = new Counters();
        private final InetSocketAddress discovery;
        private final PeerSocket socket;
        private final Assembly parts;
        private final List<StreamLink> streams = new ArrayList<>();
        private DrawnClients clients;
        private boolean serves;
        private boolean asked;
        private boolean alive = true;
        private long version;

        Life(Settings settings) throws IOException {
            discovery = settings.discovery();
            socket = new PeerSocket(loop, settings.peerListen(), this::received);
            long clocksApart = loop.read() - System.currentTimeMillis() * 1000;
            parts = new Assembly(
                    settings,
                    new Assembly.Environment(
                            this,
                            this::dial,
                            this::send,
                            sinceMillis -> sinceMillis * 1000 + clocksApart,
                            new ClientMemory(HEAP_BYTES, MAX_CLIENT_CONNECTIONS),
                            counters,
                            line -> {}));
            parts.start(this::serve);
            version = parts.listVersion();
            known.add(new Known(version, around.clock().micros(), true));
        }

        @Override
        public long now() {
            return loop.now();
        }

        @Override
        public Timer schedule(long micros, Runnable task) {
            boolean tick = micros > 0 && loop.work() == Work.CONTROL && setByDispatcher(task);
            return loop.schedule(micros, () -> {
                if (!alive) {
                    return;
                }
                long began = System.nanoTime();
                task.run();
                if (tick) {
                    traffic.ticks++;
                    traffic.tickNanos += System.nanoTime() - began;
                }
            });
        }

        /** The only timer that the dispatcher sets for a while within control is the decision module's tick. */
        private boolean setByDispatcher(Runnable task) {
            return task.getClass().getName().startsWith(Dispatcher.class.getName());
        }

        private Link dial(InetSocketAddress to, LinkEvents events) {
            if (!to.equals(discovery)) {
                return new DrawnHost(loop, world, to, events);
            }
            StreamLink link = StreamLink.dial(loop, to, new DiscoveryEvents(events), new StreamLink.Meter() {
                @Override
                public void received(int bytes) {
                    traffic.discoveryBytesIn += bytes;
                    traffic.discoveryReads++;
                }

                @Override
                public void sent(int bytes) {
                    traffic.discoveryBytesOut += bytes;
                }
            });
            streams.removeIf(StreamLink::isClosed);
            streams.add(link);
            return link;
        }

        /** Tells the state machine while this life lasts, and looks whether it knows a newer list then. */
        private final class DiscoveryEvents implements LinkEvents {
            private final LinkEvents events;

            DiscoveryEvents(LinkEvents events) {
                this.events = events;
            }

            @Override
            public void opened() {
                if (alive) {
                    events.opened();
                }
            }

            @Override
            public void received(byte[] bytes) {
                if (alive) {
                    events.received(bytes);
                    noteVersion();
                }
            }

            @Override
            public void written() {
                if (alive) {
                    events.written();
                }
            }

            @Override
            public void closed() {
                if (alive) {
                    events.closed();
                }
            }
        }

        private void noteVersion() {
            long held = parts.listVersion();
            if (held != version) {
                version = held;
                known.add(new Known(held, around.clock().micros(), false));
            }
        }

        private void received(InetSocketAddress from, byte[] content) {
            if (!alive) {
                return;
            }
            Integer sender = around.numbers().get(from);
            if (sender != null) {
                traffic.heard(sender, content.length, around.clock().micros());
            }
            parts.datagramReceived(from, content);
            noteVersion();
        }

        private void send(InetSocketAddress to, byte[] content) {
            Integer receiver = around.numbers().get(to);
            if (receiver == null) {
                return;
            }
            traffic.told(receiver, content.length, around.clock().micros());
            if (around.network().plain()) {
                socket.send(to, content);
                return;
            }
            long delay = around.network().delayMicros(number, receiver);
            if (delay == 0) {
                socket.send(to, content);
            } else if (delay != PlaceNetwork.LOST) {
                loop.after(delay, Work.TOOL, () -> {
                    if (alive) {
                        socket.send(to, content);
                    }
                });
            }
        }

        /** Clients are taken from now on. */
        private void serve() {
            serves = true;
            admit();
        }

        /** Its clients ask as soon as it takes them. */
        void ask() {
            asked = true;
            admit();
        }

        private void admit() {
            if (serves && asked && clients == null) {
                clients = new DrawnClients(loop, world, "h" + number + "-" + System.nanoTime(), parts::clientConnected);
                clients.start();
            }
        }

        void end() {
            alive = false;
            if (clients != null) {
                clients.stop();
            }
            socket.close();
            List.copyOf(streams).forEach(StreamLink::close);
        }
    }

    /** Starts it from its configuration, as it stands in the folder now. */
    void start() {
        Path file = Path.of(around.assignment().folder(), "n" + number + ".json");
        try {
            life = new Life(Config.parse(Files.readString(file), Map.of()));
        } catch (IOException | ConfigException e) {
            around.log().accept("balancer " + number + " can't start: " + e.getMessage());
        }
    }

    /** Its clients begin to ask. */
    void ask() {
        if (life != null) {
            life.ask();
        }
    }

    /** Its process ends at once, as far as others can tell. */
    void kill() {
        if (life != null) {
            life.end();
            life = null;
            traffic.forget();
        }
    }

    int number() {
        return number;
    }

    Traffic traffic() {
        return traffic;
    }

    DrawnWorld world() {
        return world;
    }

    List<Known> known() {
        return known;
    }

    /** Whether it runs and discovery has told it a list. */
    boolean listed() {
        return life != null && life.counters.get(Count.INVENTORY_LISTS) > 0;
    }

    boolean heardAll() {
        return life != null && traffic.heardAll(number);
    }

    /** The version of the list that it holds, 0 if it doesn't run. */
    long version() {
        return life == null ? 0 : life.version;
    }

    /** Failures of its tasks and decisions: a run with any is not valid. */
    long failures() {
        return life == null ? 0 : life.counters.get(Count.DECISION_FAILURES) + life.counters.get(Count.TASK_FAILURES);
    }

    long unsent() {
        return life == null ? 0 : life.socket.unsent();
    }
}
