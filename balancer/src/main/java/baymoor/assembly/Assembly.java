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
 * One balancer without its sockets: all state machines put together round whatever clock and connections it is given.
 * The serving program gives it MINA's and the system's; an emulator may give it others, and gets the same balancer.
 * Every method belongs on the thread that the given {@link Time} runs its tasks on.
 */
public final class Assembly {

    /** What the machine round a balancer gives it. */
    public record Surroundings(
            Time time,
            Dialer dialer,
            PeerLink peers,
            LongUnaryOperator unixMillisToMicros,
            long mostValueBytes,
            Counters counters,
            Consumer<String> log) {}

    /**
     * Descriptors that are neither clients' nor hosts': 25 of listeners, selectors, peers and files of the JVM, two watches and a
     * call for the list, and what there may be of connections past the bounds while others close.
     */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** New connections are said to keep coming for up to 0.4 s after SIGTERM. */
    private static final long DRAIN_ACCEPT_MICROS = 600_000;
    /** SIGKILL follows 0.7 s after the longest deadline, which counts as 3 s at most; a little before, all ends. */
    private static final long MAX_DEADLINE_MICROS = 3_000_000;

    private static final long DRAIN_MARGIN_MICROS = 500_000;
    /** Open requests that the memory bears beside their values, whatever the settings allow. */
    private static final int MAX_OPEN_REQUESTS = 8192;

    private static final long DRAIN_POLL_MICROS = 10_000;
    /** An agent answers at once, unless discovery is down: then the list of the configuration is the best there is. */
    private static final long FIRST_LIST_TIMEOUT_MICROS = 1_000_000;
    /**
     * Another balancer answers within milliseconds which hosts drain that run by the configuration's list. Where none
     * does so soon, none knows, and the list of the configuration is the best there is.
     */
    private static final long FIRST_PEER_ANSWER_TIMEOUT_MICROS = 100_000;
    /**
     * For clients to take their last answer and end their side: a program that ends before resets connections on which
     * something came in unread. Within what {@link #DRAIN_MARGIN_MICROS} leaves before SIGKILL.
     */
    private static final long CLIENT_CLOSE_GRACE_MICROS = 100_000;

    private final Settings settings;
    private final Time time;
    private final Consumer<String> log;
    private final Counters counters;
    private final North north;
    private final Dispatcher dispatcher;
    private final Inventory inventory;
    private final Discovery discovery;
    private final Peers peers;
    private final ListExchange listExchange;
    /** Whether there are other balancers that can be asked which hosts run. */
    private final boolean canAskPeers;

    private Runnable startServing;

    public Assembly(Settings settings, Surroundings environment) {
        this.settings = settings;
        time = environment.time();
        log = environment.log();
        counters = environment.counters();
        Decisions.Settings decisionSettings = settings.module();
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
                environment.mostValueBytes(),
                counters::report);
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
                dispatcher);
        boolean listIsPolled = decisionSettings.membership() == Decisions.Membership.ASK;
        int exchangeMembers = listIsPolled && decisionSettings.limits().mayTellPeers()
                ? Math.min(settings.peers().size(), decisionSettings.balancers())
                : 0;
        canAskPeers = exchangeMembers > 1;
        ListConfirmation confirmation =
                listIsPolled ? ListConfirmation.from(time.now(), canAskPeers) : ListConfirmation.notNeeded();
        Consumer<ServerList> onServerList = list -> {
            dispatcher.listed(list);
            inventory.forget(south::inUse);
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
                ~decisionSettings.seed(),
                time,
                inventory,
                confirmation,
                counters,
                peers::tell,
                onServerList);
        listExchange.whenConfirmed(() -> {
            discovery.heardFromOthers();
            becomeReady();
        });
        discovery.whenUnwatched(listExchange::seek);
        dispatcher.setListFreshnessCheck(() -> confirmation.current(time.now()));
        dispatcher.connect(north, south, discovery, peers);
    }

    /** What is about lists stays here; a datagram of any other kind is the decisions' to read or pass over. */
    private void peerMessageReceived(int peer, byte[] content) {
        if (!listExchange.heard(peer, content)) {
            dispatcher.heard(peer, content);
        }
    }

    private static int maxConnectionsPerSide(Settings settings) {
        return (settings.sockets() - RESERVED_DESCRIPTORS) / 2;
    }

    /** Clients' connections that there may be at a time, those that are to go included. */
    public static int mostAccepted(Settings settings) {
        return maxConnectionsPerSide(settings) + North.MOST_BEYOND;
    }

    /** The setting's bound, where there is one; an absent one reads as 0. */
    private static int maxOpenRequests(int configured) {
        return configured > 0 ? Math.min(configured, MAX_OPEN_REQUESTS) : MAX_OPEN_REQUESTS;
    }

    /**
     * Takes the list that the configuration holds, if any, and where lists are pushed begins to listen to the agent that
     * they are pushed to: nothing arrives by itself on sockets, and the module orders no watch there. The first event.
     *
     * @param serve begins to take clients. Danger: what the agent holds counts as told from the first moment on, while the
     *              configuration's list may be old; so this waits for the agent's first word, or a second where it is
     *              silent. Where lists are asked for it waits for another balancer's first word, or a tenth of a second
     */
    public void start(Runnable serve) {
        startServing = serve;
        if (settings.known() != null) {
            try {
                dispatcher.listed(inventory.known(settings.known()));
            } catch (JSONException e) {
                log.accept("config: known can't be read, starting without it: " + e.getMessage());
            }
        }
        if (settings.module().membership() == Decisions.Membership.PUSH) {
            discovery.attend(settings.module().rules().drainGraceMicros());
            time.after(FIRST_LIST_TIMEOUT_MICROS, this::becomeReady);
        } else if (canAskPeers) {
            listExchange.seek();
            time.after(FIRST_PEER_ANSWER_TIMEOUT_MICROS, this::becomeReady);
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

    /** A client has connected. */
    public LinkEvents client(Link link) {
        return north.client(link);
    }

    /** Another balancer's datagram has come in. */
    public void heard(InetSocketAddress from, byte[] content) {
        peers.received(from, content);
    }

    public Counters counters() {
        return counters;
    }

    /** The version of the list that is held, by which tools measure how long a change takes to be known. */
    public long listVersion() {
        return inventory.version();
    }

    /** Takes over what of a new configuration can change under load: where discovery is. The rest needs a new start. */
    public void reload(Settings newSettings) {
        log.accept("config: read again, discovery at " + newSettings.discovery());
        boolean reloadable = newSettings.name().equals(settings.name())
                && newSettings.listen().equals(settings.listen())
                && newSettings.sockets() == settings.sockets()
                && newSettings.peers().equals(settings.peers())
                && Objects.equals(newSettings.peerListen(), settings.peerListen())
                && Objects.equals(newSettings.peersAll(), settings.peersAll());
        if (!reloadable) {
            log.accept("config: a new name, listen, limits or peers take a restart; the old ones stay");
        }
        discovery.move(newSettings.discovery());
    }

    /** The longest that {@link #drain} takes, in microseconds. */
    public long mostDrainMicros() {
        long longestDeadlineMicros = settings.module().classes().stream()
                .mapToLong(Decisions.RequestClass::deadlineMicros)
                .max()
                .orElse(0);
        return Math.min(longestDeadlineMicros, MAX_DEADLINE_MICROS) + DRAIN_MARGIN_MICROS;
    }

    /** Serves on for a while, then takes nothing new and answers all that was taken; {@code ended} follows once. */
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
        time.after(DRAIN_ACCEPT_MICROS, () -> {
            north.drain();
            stopListening.run();
            time.after(DRAIN_POLL_MICROS, () -> pollUntilQuiet(endOnce));
        });
        time.after(mostDrainMicros(), () -> {
            north.failAll();
            time.after(CLIENT_CLOSE_GRACE_MICROS, endOnce);
        });
    }

    /** Ends once every answer and this side's end have left everywhere, and clients have had a moment to take them. */
    private void pollUntilQuiet(Runnable ended) {
        if (north.quiet()) {
            awaitClientCloses(ended, time.now() + CLIENT_CLOSE_GRACE_MICROS);
        } else {
            time.after(DRAIN_POLL_MICROS, () -> pollUntilQuiet(ended));
        }
    }

    private void awaitClientCloses(Runnable ended, long untilMicros) {
        if (north.empty() || time.now() >= untilMicros) {
            ended.run();
        } else {
            time.after(DRAIN_POLL_MICROS, () -> awaitClientCloses(ended, untilMicros));
        }
    }
}
