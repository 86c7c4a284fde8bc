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
    private static final int OTHER_DESCRIPTORS = 64;
    /** New connections are said to keep coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_ON_MICROS = 600_000;
    /** SIGKILL follows 0.7 s after the longest deadline, which counts as 3 s at most; a little before, all ends. */
    private static final long LONGEST_DEADLINE_MICROS = 3_000_000;

    private static final long END_MICROS = 500_000;
    /** Open requests that the memory bears beside their values, whatever the settings allow. */
    private static final int MOST_OPEN = 8192;

    private static final long LOOK_MICROS = 10_000;
    /** An agent answers at once, unless discovery is down: then the list of the configuration is the best there is. */
    private static final long FIRST_LIST_MICROS = 1_000_000;
    /**
     * Another balancer answers within milliseconds which hosts drain that run by the configuration's list. Where none
     * does so soon, none knows, and the list of the configuration is the best there is.
     */
    private static final long FIRST_WORD_MICROS = 100_000;
    /**
     * For clients to take their last answer and end their side: a program that ends before resets connections on which
     * something came in unread. Within what {@link #END_MICROS} leaves before SIGKILL.
     */
    private static final long PARTING_MICROS = 100_000;

    private final Settings settings;
    private final Time time;
    private final Consumer<String> log;
    private final Counters counters;
    private final North north;
    private final Dispatcher dispatcher;
    private final Inventory inventory;
    private final Discovery discovery;
    private final Peers peers;
    private final ListExchange exchange;
    /** Whether there are other balancers that can be asked which hosts run. */
    private final boolean othersKnow;

    private Runnable toServe;

    public Assembly(Settings settings, Surroundings around) {
        this.settings = settings;
        time = around.time();
        log = around.log();
        counters = around.counters();
        Decisions.Settings module = settings.module();
        dispatcher = new Dispatcher(Decisions.start(module), module.limits(), module.classes(), time, counters, log);
        inventory = new Inventory(around.unixMillisToMicros(), counters);
        int half = half(settings);
        north = new North(
                time,
                counters,
                module.classes().stream().map(Decisions.RequestClass::name).collect(Collectors.toSet()),
                dispatcher,
                half,
                most(module.limits().maxOpen()),
                around.mostValueBytes(),
                counters::report);
        int kind = module.origin().kind();
        boolean listed = module.origin().mode() == Decisions.Mode.ASIDE
                && kind >= 0
                && kind < module.kinds().size();
        List<String> fields = module.reports() == Decisions.Reports.NONE ? List.of() : module.reportFields();
        South south = new South(
                around.dialer(),
                time,
                counters,
                inventory::entry,
                listed ? module.kinds().get(kind) : null,
                fields,
                module.limits(),
                half,
                dispatcher);
        boolean asked = module.membership() == Decisions.Membership.ASK;
        int others = asked && module.limits().mayTellPeers()
                ? Math.min(settings.peers().size(), module.balancers())
                : 0;
        othersKnow = others > 1;
        ListConfirmation confirmation =
                asked ? ListConfirmation.from(time.now(), othersKnow) : ListConfirmation.notNeeded();
        Consumer<ServerList> hearsList = list -> {
            dispatcher.listed(list);
            inventory.forget(south::uses);
            ready();
        };
        discovery = new Discovery(
                settings.discovery(),
                around.dialer(),
                time,
                inventory,
                counters,
                new CallPacing(module.balancers(), module.index(), module.seed()),
                confirmation,
                hearsList);
        peers = new Peers(
                settings.peers(),
                settings.peerListen(),
                settings.peersAll(),
                around.peers(),
                counters,
                this::heardFrom);
        exchange = new ListExchange(
                module.index(),
                Math.max(1, others),
                ~module.seed(),
                time,
                inventory,
                confirmation,
                counters,
                peers::tell,
                hearsList);
        exchange.whenConfirmed(() -> {
            discovery.heardFromOthers();
            ready();
        });
        discovery.whenUnwatched(exchange::seek);
        dispatcher.setListFreshnessCheck(() -> confirmation.current(time.now()));
        dispatcher.connect(north, south, discovery, peers);
    }

    /** What is about lists stays here; a datagram of any other kind is the decisions' to read or pass over. */
    private void heardFrom(int peer, byte[] content) {
        if (!exchange.heard(peer, content)) {
            dispatcher.heard(peer, content);
        }
    }

    private static int half(Settings settings) {
        return (settings.sockets() - OTHER_DESCRIPTORS) / 2;
    }

    /** Clients' connections that there may be at a time, those that are to go included. */
    public static int mostAccepted(Settings settings) {
        return half(settings) + North.MOST_BEYOND;
    }

    /** The setting's bound, where there is one; an absent one reads as 0. */
    private static int most(int open) {
        return open > 0 ? Math.min(open, MOST_OPEN) : MOST_OPEN;
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
        toServe = serve;
        if (settings.known() != null) {
            try {
                dispatcher.listed(inventory.known(settings.known()));
            } catch (JSONException e) {
                log.accept("config: known can't be read, starting without it: " + e.getMessage());
            }
        }
        if (settings.module().membership() == Decisions.Membership.PUSH) {
            discovery.attend(settings.module().rules().drainGraceMicros());
            time.after(FIRST_LIST_MICROS, this::ready);
        } else if (othersKnow) {
            exchange.seek();
            time.after(FIRST_WORD_MICROS, this::ready);
        } else {
            ready();
        }
    }

    private void ready() {
        Runnable serve = toServe;
        toServe = null;
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
    public void reload(Settings fresh) {
        log.accept("config: read again, discovery at " + fresh.discovery());
        boolean same = fresh.name().equals(settings.name())
                && fresh.listen().equals(settings.listen())
                && fresh.sockets() == settings.sockets()
                && fresh.peers().equals(settings.peers())
                && Objects.equals(fresh.peerListen(), settings.peerListen())
                && Objects.equals(fresh.peersAll(), settings.peersAll());
        if (!same) {
            log.accept("config: a new name, listen, limits or peers take a restart; the old ones stay");
        }
        discovery.move(fresh.discovery());
    }

    /** The longest that {@link #drain} takes, in microseconds. */
    public long mostDrainMicros() {
        long longest = settings.module().classes().stream()
                .mapToLong(Decisions.RequestClass::deadlineMicros)
                .max()
                .orElse(0);
        return Math.min(longest, LONGEST_DEADLINE_MICROS) + END_MICROS;
    }

    /** Serves on for a while, then takes nothing new and answers all that was taken; {@code ended} follows once. */
    public void drain(Runnable stopListening, Runnable ended) {
        Runnable once = new Runnable() {
            private boolean done;

            @Override
            public void run() {
                if (!done) {
                    done = true;
                    ended.run();
                }
            }
        };
        time.after(ACCEPT_ON_MICROS, () -> {
            north.drain();
            stopListening.run();
            time.after(LOOK_MICROS, () -> look(once));
        });
        time.after(mostDrainMicros(), () -> {
            north.failAll();
            time.after(PARTING_MICROS, once);
        });
    }

    /** Ends once every answer and this side's end have left everywhere, and clients have had a moment to take them. */
    private void look(Runnable ended) {
        if (north.quiet()) {
            parting(ended, time.now() + PARTING_MICROS);
        } else {
            time.after(LOOK_MICROS, () -> look(ended));
        }
    }

    private void parting(Runnable ended, long untilMicros) {
        if (north.empty() || time.now() >= untilMicros) {
            ended.run();
        } else {
            time.after(LOOK_MICROS, () -> parting(ended, untilMicros));
        }
    }
}
