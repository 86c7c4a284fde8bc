package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** A new configuration names another discovery, at the built balancer. */
public class DiscoveryMoveIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    /** What discovery has to tell is due 4 s after SIGHUP; then the grace of drains and the 50 ms of limits on sockets. */
    private static final long LAST_ATTEMPT_MILLIS = 4_000 + 500 + 50;
    /** Longer than a list may be used after the last sign of life of a watch, which is 6 s. */
    private static final long REJECTING_MILLIS = 8_000;

    private static final int TIMEOUT_SECONDS = 20;
    private final BalancerEnvironment environment = new BalancerEnvironment();
    private int requests;

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    private String read(BalancerEnvironment.Client client) throws IOException {
        String id = String.format("%016x", ++requests);
        return client.request("OBJ.GET", id, id, "c=map-read,t=fraser-surveyors,d=1000,h=120000");
    }

    /** Guards against attempts by the old list while the new discovery rejects all calls, as if it were down. */
    @Test
    public void noAttemptIsMadeByTheOldListLongAfterTheMove() throws Exception {
        BalancerEnvironment.StubServer router = environment.router("s-a", 0, parts -> VALUE);
        environment.start();
        assertTrue(environment.awaitWatchPort() > 0);
        environment.scriptingDiscovery();
        long movedNanos = System.nanoTime();
        environment.reload(environment.config());
        long lastAttemptNanos = movedNanos + TimeUnit.MILLISECONDS.toNanos(LAST_ATTEMPT_MILLIS);
        BalancerEnvironment.DiscoveryCall call = environment.awaitDiscoveryCall();
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", read(client));
            while (System.nanoTime() - movedNanos < TimeUnit.MILLISECONDS.toNanos(REJECTING_MILLIS)) {
                call.closeUnanswered();
                read(client);
                call = environment.awaitDiscoveryCall();
            }
            assertFalse(router.received.stream().anyMatch(message -> message.receivedNanos() > lastAttemptNanos));
            call.startWatch().sendChunk(environment.fullList(2));
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (!read(client).equals("v") && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            assertEquals("v", read(client));
        }
    }
}
