package baymoor.serve;

import baymoor.assembly.Assembly;
import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.memory.ClientMemory;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One balancer on sockets: starts it, reloads its configuration and drains it. */
final class Balancer {

    /** How much longer than the longest drain the process waits for it to end. */
    private static final long DRAIN_TIMEOUT_MARGIN_MICROS = 600_000;

    private final Settings settings;
    private final Log log;
    private final DecisionThread decisionThread;
    private final ClientMemory clientMemory;
    private final MinaNet net;
    private final Assembly assembly;
    private final CountDownLatch readyToListen = new CountDownLatch(1);
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean listening;
    private boolean draining;

    Balancer(Settings settings, Log log) {
        this.settings = settings;
        this.log = log;
        Counters counters = new Counters();
        decisionThread = new DecisionThread(counters, log);
        clientMemory = new ClientMemory(Runtime.getRuntime().maxMemory(), Assembly.maxAcceptedConnections(settings));
        net = new MinaNet(decisionThread, Assembly.maxAcceptedConnections(settings), clientMemory);
        long clockOffsetMicros = decisionThread.clockMicros() - System.currentTimeMillis() * 1000;
        assembly = new Assembly(
                settings,
                new Assembly.Environment(
                        decisionThread,
                        net,
                        net,
                        unixMillis -> unixMillis * 1000 + clockOffsetMicros,
                        clientMemory,
                        counters,
                        log));
    }

    /** Returns once the balancer listens, or once it has been drained before that. */
    void start() throws IOException, InterruptedException {
        if (settings.peerListen() != null
                && settings.decisionSettings().limits().mayTellPeers()) {
            net.listenToPeers(settings.peerListen(), assembly::datagramReceived);
        }
        decisionThread.post(() -> assembly.start(readyToListen::countDown));
        new Thread(decisionThread, "decisions").start();
        readyToListen.await();
        synchronized (this) {
            if (!draining) {
                net.listen(settings.listen(), assembly::clientConnected);
                listening = true;
                log.accept("listening: " + settings.listen().getAddress().getHostAddress() + ":"
                        + settings.listen().getPort());
            }
        }
    }

    /** Returns what clients make the program hold, as names and values. */
    Map<String, String> memoryInUse() {
        return nameValues(clientMemory.report());
    }

    private static Map<String, String> nameValues(String report) {
        Map<String, String> values = new LinkedHashMap<>();
        report.lines().forEach(line -> {
            int colon = line.indexOf(':');
            values.put(line.substring(0, colon), line.substring(colon + 1));
        });
        return values;
    }

    /** Applies a new configuration on the decision thread. */
    void reload(Settings newSettings) {
        decisionThread.post(() -> assembly.reload(newSettings));
    }

    /**
     * Keeps serving for a grace period, then stops listening, answers all pending requests, logs the counters and returns.
     * Returns at once if the balancer does not listen yet, and keeps it from doing so.
     */
    void drain() {
        synchronized (this) {
            draining = true;
            if (!listening) {
                return;
            }
        }
        decisionThread.post(() ->
                assembly.drain(() -> new Thread(net::stopListening, "stop-listening").start(), drained::countDown));
        try {
            drained.await(assembly.maxDrainMicros() + DRAIN_TIMEOUT_MARGIN_MICROS, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.event("INFO", "counters", nameValues(assembly.counterReport()));
    }
}
