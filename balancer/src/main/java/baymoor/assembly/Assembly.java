package baymoor.assembly;

import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.dispatch.Dispatcher;
import baymoor.inventory.CallPacing;
import baymoor.inventory.Discovery;
import baymoor.inventory.Inventory;
import baymoor.inventory.ListConfirmation;
import baymoor.inventory.ListExchange;
import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.link.Time;
import baymoor.memory.ClientMemory;
import baymoor.north.North;
import baymoor.peers.PeerLink;
import baymoor.peers.Peers;
import baymoor.south.South;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;
import merlinstep.Decisions;
import merlinstep.Decisions.ServerList;
import org.json.JSONException;

/**
 * One balancer without its sockets: connects all its state machines to a given clock and network. The serving program
 * passes the system's; an emulator or a load test may pass simulated ones. Not thread-safe: every method is called on the
 * thread that runs the tasks of the given {@link Time}.
 */
public final class Assembly {

    /**
     * The clock, network and limits that a balancer runs with.
     *
     * @param unixMillisToMicros converts Unix time in milliseconds to the time of {@code time}, in microseconds
     * @param clientMemory       accounts for the memory that clients make this balancer hold
     */
    public record Environment(
            Time time,
            Dialer dialer,
            PeerLink peers,
            LongUnaryOperator unixMillisToMicros,
            ClientMemory clientMemory,
            Counters counters,
            Consumer<String> log) {}

    /**
     * File descriptors kept free for everything but client and host connections: some 25 for listeners, selectors, peers and
     * files of the JVM, three for two watches and a list call, and connections beyond the limits while others close.
     */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** How long a draining balancer accepts connections: new ones may arrive for up to 0.4 s after SIGTERM. */
    private static final long DRAIN_ACCEPT_MICROS = 600_000;
    /** Cap on the longest request deadline that a drain waits for. SIGKILL follows 0.7 s after the deadline so capped. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;

    /** Added to that deadline; then the drain ends whatever is left. Below the 0.7 s until SIGKILL. */
    private static final long DRAIN_MARGIN_MICROS = 500_000;
    /** Limit of open requests whatever the settings allow, set by the memory that they take in addition to their values. */
    private static final int MAX_OPEN_REQUESTS = 8192;

    private static final long DRAIN_POLL_MICROS = 10_000;
    /** How long to wait for the discovery agent's first list before serving by the list of the configuration. */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 1_000_000;
    /**
     * How long to wait for another balancer's first answer before serving by the list of the configuration. Balancers that
     * have a newer list answer within milliseconds.
     */
    private static final long FIRST_PEER_ANSWER_TIMEOUT_MICROS = 100_000;
    /**
     * How long clients may take to read their last answer and close. When the program exits, connections with unread input
     * are reset, which may lose that answer. Together with {@link #DRAIN_MARGIN_MICROS} it ends before SIGKILL.
     */
    private static final long CLIENT_CLOSE_GRACE_MICROS = 100_000;

    private final Settings settings;
    private final Time time;
    private final Consumer<String> log;
    private final Counters counters;
    private final ClientMemory clientMemory;
    private final North north;
    private final Dispatcher dispatcher;
    private final Inventory inventory;
    private final Discovery discovery;
    private final Peers peers;
    private final ListExchange listExchange;
    /** Whether other balancers can be asked for the state of the hosts. */
    private final boolean canAskPeers;

    /** Starts serving clients; null once it has run. */
    private Runnable startServing;

    /** Creates a balancer; {@link #start} starts it. */
    public Assembly(Settings settings, Environment environment) {
        this.settings = settings;
        time = environment.time();
        log = environment.log();
        counters = environment.counters();
        clientMemory = environment.clientMemory();
        Decisions.Settings decisionSettings = settings.decisionSettings();
        dispatcher = new Dispatcher(
                Decisions.start(decisionSettings),
                decisionSettings.limits(),
                decisionSettings.classes(),
                time,
                counters,
                log);
        inventory = new Inventory(environment.unixMillisToMicros(), counters);
        int maxConnections = maxConnectionsPerSide(settings);
        north = new North(
                time,
                counters,
                decisionSettings.classes().stream()
                        .map(Decisions.RequestClass::name)
                        .collect(Collectors.toSet()),
                dispatcher,
                maxConnections,
                maxOpenRequests(decisionSettings.limits().maxOpen()),
                environment.clientMemory(),
                this::counterReport);
        int originKind = decisionSettings.origin().kind();
        boolean originListed = decisionSettings.origin().mode() == Decisions.Mode.ASIDE
                && originKind >= 0
                && originKind < decisionSettings.kinds().size();
        List<String> reportFields =
                decisionSettings.reports() == Decisions.Reports.NONE ? List.of() : decisionSettings.reportFields();
        South south = new South(
                environment.dialer(),
                time,
                counters,
                inventory::entry,
                originListed ? decisionSettings.kinds().get(originKind) : null,
                reportFields,
                decisionSettings.limits(),
                maxConnections,
                environment.clientMemory(),
                dispatcher);
        boolean listIsPolled = decisionSettings.membership() == Decisions.Membership.ASK;
        int exchangeMembers = listIsPolled && decisionSettings.limits().mayTellPeers()
                ? Math.min(settings.peers().size(), decisionSettings.balancers())
                : 0;
        canAskPeers = exchangeMembers > 1;
        ListConfirmation confirmation =
                listIsPolled ? ListConfirmation.startingAt(time.now(), canAskPeers) : ListConfirmation.notNeeded();
        Consumer<ServerList> onServerList = list -> {
            dispatcher.serverListChanged(list);
            inventory.removeGoneHosts(south::inUse);
            becomeReady();
        };
        discovery = new Discovery(
                settings.discovery(),
                environment.dialer(),
                time,
                inventory,
                counters,
                new CallPacing(decisionSettings.balancers(), decisionSettings.index(), decisionSettings.seed()),
                confirmation,
                onServerList);
        peers = new Peers(
                settings.peers(),
                settings.peerListen(),
                settings.peersAll(),
                environment.peers(),
                counters,
                this::peerMessageReceived);
        listExchange = new ListExchange(
                decisionSettings.index(),
                Math.max(1, exchangeMembers),
                exchangeSeed(decisionSettings.seed(), environment),
                time,
                inventory,
                confirmation,
                counters,
                peers::send,
                onServerList);
        listExchange.onListConfirmed(() -> {
            discovery.peerConfirmedList();
            becomeReady();
        });
        discovery.onWatchLost(listExchange::startQuerying);
        dispatcher.setListFreshnessCheck(() -> confirmation.isFresh(time.now()));
        dispatcher.connect(north, south, discovery, peers);
    }

    /**
     * Returns a seed that differs for each process, also of processes with the same configuration: replies to queries of the one
     * before must not be taken for replies to this one's.
     */
    private static long exchangeSeed(long configuredSeed, Environment environment) {
        long startMicros =
                environment.time().now() - environment.unixMillisToMicros().applyAsLong(0);
        return ~configuredSeed ^ startMicros;
    }

    /** Handles a datagram of another balancer: a message of the list exchange here, any other one in the decision module. */
    private void peerMessageReceived(int peer, byte[] content) {
        if (!listExchange.handleDatagram(peer, content)) {
            dispatcher.peerMessageReceived(peer, content);
        }
    }

    private static int maxConnectionsPerSide(Settings settings) {
        return (settings.maxSockets() - RESERVED_DESCRIPTORS) / 2;
    }

    /** Returns the limit of open client connections, including those that are being evicted. */
    public static int maxAcceptedConnections(Settings settings) {
        return maxConnectionsPerSide(settings) + North.MAX_CONNECTIONS_OVER_LIMIT;
    }

    /** @param configured limit of the settings, 0 without one */
    private static int maxOpenRequests(int configured) {
        return configured > 0 ? Math.min(configured, MAX_OPEN_REQUESTS) : MAX_OPEN_REQUESTS;
    }

    /**
     * Starts the balancer with the server list of the configuration, if any. Where lists are pushed, starts the watch on the
     * discovery agent, as the decision module orders none then. Must be called once, before any other event.
     *
     * @param serve starts serving clients. As the list of the configuration may be old, it is called after the first list of
     *              the agent or {@link #FIRST_LIST_TIMEOUT_MICROS}; where lists are polled, after the first answer of
     *              another balancer or {@link #FIRST_PEER_ANSWER_TIMEOUT_MICROS}
     */
    public void start(Runnable serve) {
        startServing = serve;
        if (settings.initialList() != null) {
            try {
                dispatcher.serverListChanged(inventory.applyConfiguredList(settings.initialList()));
            } catch (JSONException e) {
                log.accept("config: known is not a valid server list, starting without it: " + e.getMessage());
            }
        }
        if (settings.decisionSettings().membership() == Decisions.Membership.PUSH) {
            discovery.watchContinuously(settings.decisionSettings().rules().drainGraceMicros());
            time.schedule(FIRST_LIST_TIMEOUT_MICROS, this::becomeReady);
        } else if (canAskPeers) {
            listExchange.startQuerying();
            time.schedule(FIRST_PEER_ANSWER_TIMEOUT_MICROS, this::becomeReady);
        } else {
            becomeReady();
        }
    }

    private void becomeReady() {
        Runnable serve = startServing;
        startServing = null;
        if (serve != null) {
            serve.run();
        }
    }

    /**
     * Handles a new client connection.
     *
     * @return the receiver of the connection's events
     */
    public LinkEvents clientConnected(Link link) {
        return north.accept(link);
    }

    /** Handles a datagram of another balancer. */
    public void datagramReceived(InetSocketAddress from, byte[] content) {
        peers.received(from, content);
    }

    public Counters counters() {
        return counters;
    }

    /** Returns one line {@code name:value} for each counter and for the memory that clients make this balancer hold. */
    public String counterReport() {
        return counters.report() + clientMemory.report();
    }

    /** Returns the version of the server list in use, by which tools measure how long a change takes to arrive. */
    public long listVersion() {
        return inventory.version();
    }

    /** Applies the part of a new configuration that can change without a restart: the address of discovery. */
    public void reload(Settings newSettings) {
        log.accept("config: reloaded, discovery at " + newSettings.discovery());
        boolean reloadable = newSettings.name().equals(settings.name())
                && newSettings.listen().equals(settings.listen())
                && newSettings.maxSockets() == settings.maxSockets()
                && newSettings.peers().equals(settings.peers())
                && Objects.equals(newSettings.peerListen(), settings.peerListen())
                && Objects.equals(newSettings.peersAll(), settings.peersAll());
        if (!reloadable) {
            log.accept("config: changes of name, listen, limits or peers are ignored until a restart");
        }
        discovery.changeAddress(newSettings.discovery());
    }

    /** Returns how long after the call of {@link #drain} what is still open fails, in microseconds. */
    public long maxDrainMicros() {
        long longestDeadlineMicros = settings.decisionSettings().classes().stream()
                .mapToLong(Decisions.RequestClass::deadlineMicros)
                .max()
                .orElse(0);
        return Math.min(longestDeadlineMicros, MAX_DEADLINE_MICROS) + DRAIN_MARGIN_MICROS;
    }

    /**
     * Shuts down gracefully: keeps serving for a moment, then accepts nothing new and answers all open requests.
     *
     * @param stopListening closes the listeners
     * @param ended         called once, when the program may exit
     */
    public void drain(Runnable stopListening, Runnable ended) {
        Runnable endOnce = new Runnable() {
            private boolean done;

            @Override
            public void run() {
                if (!done) {
                    done = true;
                    ended.run();
                }
            }
        };
        time.schedule(DRAIN_ACCEPT_MICROS, () -> {
            north.drain();
            stopListening.run();
            time.schedule(DRAIN_POLL_MICROS, () -> pollUntilQuiet(endOnce));
        });
        time.schedule(maxDrainMicros(), () -> {
            north.failAll();
            time.schedule(CLIENT_CLOSE_GRACE_MICROS, endOnce);
        });
    }

    /** Polls until every answer is written and every connection is half-closed, then gives clients time to close theirs. */
    private void pollUntilQuiet(Runnable ended) {
        if (north.isDrained()) {
            awaitClientCloses(ended, time.now() + CLIENT_CLOSE_GRACE_MICROS);
        } else {
            time.schedule(DRAIN_POLL_MICROS, () -> pollUntilQuiet(ended));
        }
    }

    private void awaitClientCloses(Runnable ended, long untilMicros) {
        if (north.hasNoConnections() || time.now() >= untilMicros) {
            ended.run();
        } else {
            time.schedule(DRAIN_POLL_MICROS, () -> awaitClientCloses(ended, untilMicros));
        }
    }
}
