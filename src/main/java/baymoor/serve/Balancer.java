package baymoor.serve;

import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.dispatch.Dispatcher;
import baymoor.inventory.Discovery;
import baymoor.inventory.Inventory;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import baymoor.north.North;
import baymoor.peers.Peers;
import baymoor.south.South;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import merlinstep.Decisions;
import org.json.JSONException;

/** One balancer: its parts put together, its start and its end. */
final class Balancer {

    /** Descriptors that are neither clients' nor hosts': listeners, selectors, discovery, files of the JVM. */
    private static final int OTHER_DESCRIPTORS = 64;
    /** New connections are said to keep coming for up to 0.4 s after SIGTERM. */
    private static final long ACCEPT_ON_MICROS = 600_000;
    /** SIGKILL follows 0.7 s after the longest deadline, which counts as 3 s at most; a little before, all ends. */
    private static final long LONGEST_DEADLINE_MICROS = 3_000_000;
    private static final long END_MICROS = 500_000;
    /** Open requests that the memory bears beside their values, whatever the settings allow. */
    private static final int MOST_OPEN = 8192;
    private static final long LOOK_MICROS = 10_000;

    private final Settings settings;
    private final Counters counters = new Counters();
    private final Consumer<String> log;
    private final DecisionThread thread;
    private final MinaNet net;
    private final North north;
    private final Dispatcher dispatcher;
    private final Inventory inventory;
    private final Discovery discovery;
    private final Peers peers;
    private final CountDownLatch ended = new CountDownLatch(1);

    Balancer(Settings settings, Consumer<String> log) {
        this.settings = settings;
        this.log = log;
        Decisions.Settings module = settings.module();
        thread = new DecisionThread(counters, log);
        net = new MinaNet(thread);
        dispatcher = new Dispatcher(Decisions.start(module), module.limits(), thread, counters, log);
        long clocksApart = thread.read() - System.currentTimeMillis() * 1000;
        inventory = new Inventory(sinceMillis -> sinceMillis * 1000 + clocksApart, counters);
        int half = (settings.sockets() - OTHER_DESCRIPTORS) / 2;
        north = new North(thread, counters, module.classes().stream().map(Decisions.RequestClass::name)
                .collect(Collectors.toSet()), dispatcher, half,
                most(module.limits().maxOpen()), counters::report);
        int kind = module.origin().kind();
        boolean listed = module.origin().mode() == Decisions.Mode.ASIDE && kind >= 0 && kind < module.kinds().size();
        List<String> fields = module.reports() == Decisions.Reports.NONE ? List.of() : module.reportFields();
        South south = new South(net, thread, counters, inventory::entry, listed ? module.kinds().get(kind) : null,
                fields, module.limits(), half, dispatcher);
        discovery = new Discovery(settings.discovery(), net, thread, inventory, counters,
                list -> {
                    dispatcher.listed(list);
                    inventory.forget(south::uses);
                });
        peers = new Peers(settings.peers(), settings.peersAll(), net, counters, dispatcher::heard);
        dispatcher.connect(north, south, discovery, peers);
    }

    /** The setting's bound, where there is one; an absent one reads as 0. */
    private static int most(int open) {
        return open > 0 ? Math.min(open, MOST_OPEN) : MOST_OPEN;
    }

    void start() throws IOException {
        if (settings.peerListen() != null && settings.module().limits().mayTellPeers()) {
            net.listenToPeers(settings.peerListen(), peers::received);
        }
        if (settings.known() != null) {
            thread.post(this::takeKnown);
        }
        new Thread(thread, "decisions").start();
        net.listen(settings.listen(), north::client);
    }

    private void takeKnown() {
        try {
            dispatcher.listed(inventory.known(settings.known()));
        } catch (JSONException e) {
            log.accept("config: known can't be read, starting without it: " + e.getMessage());
        }
    }

    /** Takes over what of a new configuration can change under load: where discovery is. The rest needs a new start. */
    void reload(Settings fresh) {
        log.accept("config: read again, discovery at " + fresh.discovery());
        boolean same = fresh.name().equals(settings.name()) && fresh.listen().equals(settings.listen())
                && fresh.sockets() == settings.sockets() && fresh.peers().equals(settings.peers())
                && Objects.equals(fresh.peerListen(), settings.peerListen())
                && Objects.equals(fresh.peersAll(), settings.peersAll());
        if (!same) {
            log.accept("config: a new name, listen, limits or peers take a restart; the old ones stay");
        }
        thread.post(() -> discovery.move(fresh.discovery()));
    }

    /** Serves on for a while, then takes nothing new, answers all that was taken, and returns. */
    void drain() {
        long longest = settings.module().classes().stream().mapToLong(Decisions.RequestClass::deadlineMicros).max()
                .orElse(0);
        long most = Math.min(longest, LONGEST_DEADLINE_MICROS) + END_MICROS;
        thread.post(() -> {
            thread.after(ACCEPT_ON_MICROS, () -> {
                north.drain();
                new Thread(net::stopListening, "stop-listening").start();
                thread.after(LOOK_MICROS, this::look);
            });
            thread.after(most, () -> {
                north.failAll();
                thread.after(LOOK_MICROS, ended::countDown);
            });
        });
        try {
            ended.await(most + ACCEPT_ON_MICROS, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.accept(counters.report().trim().replace('\n', ' '));
    }

    private void look() {
        if (north.quiet()) {
            // The last answer may still be on its way out.
            thread.after(LOOK_MICROS, ended::countDown);
        } else {
            thread.after(LOOK_MICROS, this::look);
        }
    }
}
