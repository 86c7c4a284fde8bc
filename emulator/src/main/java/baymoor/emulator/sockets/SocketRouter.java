package baymoor.emulator.sockets;

import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.world.RouterLoad;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs a single router under load on loopback, in real time. */
public final class SocketRouter {

    private static final long GRACE_SECONDS = 30;

    private SocketRouter() {}

    /**
     * Runs the load to its end and returns its results.
     *
     * @throws IOException if the run fails or does not end in time
     */
    public static RouterLoad play(Scenario scenario, long seed, double load) throws IOException, InterruptedException {
        String[] failure = new String[1];
        DecisionThread thread = new DecisionThread(new Counters(), line -> failure[0] = line);
        MinaNet net = new MinaNet(thread);
        CountDownLatch finished = new CountDownLatch(1);
        try {
            Streams streams = new Streams(seed);
            SocketPlatform platform = new SocketPlatform(thread, net, scenario, streams);
            RouterLoad[] run = new RouterLoad[1];
            thread.post(() -> {
                run[0] = new RouterLoad(scenario, platform, streams, load, finished::countDown);
                run[0].begin();
            });
            new Thread(thread, "router").start();
            long seconds = scenario.durationMicros() / 1_000_000 + GRACE_SECONDS;
            if (!finished.await(seconds, TimeUnit.SECONDS) || failure[0] != null) {
                throw new IOException("router run failed or did not end in time: " + failure[0]);
            }
            return run[0];
        } finally {
            thread.stop();
            net.close();
        }
    }
}
