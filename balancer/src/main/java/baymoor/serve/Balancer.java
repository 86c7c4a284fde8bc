package baymoor.serve;

import baymoor.assembly.Assembly;
import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One balancer on sockets: its start and its end. */
final class Balancer {

    /** Of the heap, so that it bears what else there is beside the values of writes. */
    private static final int WRITE_VALUE_HEAP_DIVISOR = 6;

    private static final long DRAIN_TIMEOUT_MARGIN_MICROS = 600_000;

    private final Settings settings;
    private final Log log;
    private final DecisionThread decisionThread;
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
        net = new MinaNet(decisionThread, Assembly.mostAccepted(settings));
        long clockOffsetMicros = decisionThread.read() - System.currentTimeMillis() * 1000;
        assembly = new Assembly(
                settings,
                new Assembly.Surroundings(
                        decisionThread,
                        net,
                        net,
                        unixMillis -> unixMillis * 1000 + clockOffsetMicros,
                        Runtime.getRuntime().maxMemory() / WRITE_VALUE_HEAP_DIVISOR,
                        counters,
                        log));
    }

    /** Returns once it listens, or was told to end before that. */
    void start() throws IOException, InterruptedException {
        if (settings.peerListen() != null && settings.module().limits().mayTellPeers()) {
            net.listenToPeers(settings.peerListen(), assembly::heard);
        }
        decisionThread.post(() -> assembly.start(readyToListen::countDown));
        new Thread(decisionThread, "decisions").start();
        readyToListen.await();
        synchronized (this) {
            if (!draining) {
                net.listen(settings.listen(), assembly::client);
                listening = true;
                log.accept("listening: " + settings.listen().getAddress().getHostAddress() + ":"
                        + settings.listen().getPort());
            }
        }
    }

    void reload(Settings newSettings) {
        decisionThread.post(() -> assembly.reload(newSettings));
    }

    /** Serves on for a while, then takes nothing new, answers all that was taken, and returns; at once before it listens. */
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
            drained.await(assembly.mostDrainMicros() + DRAIN_TIMEOUT_MARGIN_MICROS, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Map<String, String> counterValues = new LinkedHashMap<>();
        assembly.counters().report().lines().forEach(line -> {
            int colon = line.indexOf(':');
            counterValues.put(line.substring(0, colon), line.substring(colon + 1));
        });
        log.event("INFO", "counters", counterValues);
    }
}
