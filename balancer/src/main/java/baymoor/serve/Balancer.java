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
    private static final int VALUES_PART = 6;

    private static final long DRAIN_GRACE_MICROS = 600_000;

    private final Settings settings;
    private final Log log;
    private final DecisionThread thread;
    private final MinaNet net;
    private final Assembly parts;
    private final CountDownLatch ready = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private boolean listening;
    private boolean ending;

    Balancer(Settings settings, Log log) {
        this.settings = settings;
        this.log = log;
        Counters counters = new Counters();
        thread = new DecisionThread(counters, log);
        net = new MinaNet(thread, Assembly.mostAccepted(settings));
        long clocksApart = thread.read() - System.currentTimeMillis() * 1000;
        parts = new Assembly(
                settings,
                new Assembly.Surroundings(
                        thread,
                        net,
                        net,
                        sinceMillis -> sinceMillis * 1000 + clocksApart,
                        Runtime.getRuntime().maxMemory() / VALUES_PART,
                        counters,
                        log));
    }

    /** Returns once it listens, or was told to end before that. */
    void start() throws IOException, InterruptedException {
        if (settings.peerListen() != null && settings.module().limits().mayTellPeers()) {
            net.listenToPeers(settings.peerListen(), parts::heard);
        }
        thread.post(() -> parts.start(ready::countDown));
        new Thread(thread, "decisions").start();
        ready.await();
        synchronized (this) {
            if (!ending) {
                net.listen(settings.listen(), parts::client);
                listening = true;
                log.accept("listening: " + settings.listen().getAddress().getHostAddress() + ":"
                        + settings.listen().getPort());
            }
        }
    }

    void reload(Settings fresh) {
        thread.post(() -> parts.reload(fresh));
    }

    /** Serves on for a while, then takes nothing new, answers all that was taken, and returns; at once before it listens. */
    void drain() {
        synchronized (this) {
            ending = true;
            if (!listening) {
                return;
            }
        }
        thread.post(() ->
                parts.drain(() -> new Thread(net::stopListening, "stop-listening").start(), ended::countDown));
        try {
            ended.await(parts.mostDrainMicros() + DRAIN_GRACE_MICROS, TimeUnit.MICROSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Map<String, String> values = new LinkedHashMap<>();
        parts.counters().report().lines().forEach(line -> {
            int colon = line.indexOf(':');
            values.put(line.substring(0, colon), line.substring(colon + 1));
        });
        log.event("INFO", "counters", values);
    }
}
