package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** The four rules of the service, each checked with the built balancer on real sockets. */
public class RulesIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private final BalancerEnvironment environment = new BalancerEnvironment();

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    private static String[] mapRead(int key, int deadlineMillis) {
        String id = String.format("%016x", key);
        return new String[] {"OBJ.GET", id, id, "c=map-read,t=fraser-surveyors,d=" + deadlineMillis + ",h=120000"};
    }

    @Test
    public void everyRequestGetsOneAnswerWithinItsDeadline() throws IOException {
        environment.router("s-a", 0, parts -> null);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            long startNanos = System.nanoTime();
            String answer = client.request(mapRead(1, 1400));
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(answer, answer.startsWith("-"));
            assertTrue("after " + elapsedMillis + " ms", elapsedMillis <= 1400 + 70);
            assertEquals(
                    "unexpected further answer", "PONG", client.request("PING").substring(1));
        }
    }

    @Test
    public void aWriteThatMayHaveBeenAppliedIsNeitherRetriedNorRefused() throws IOException {
        environment.router("s-a", 0, parts -> VALUE);
        BalancerEnvironment.StubServer origin = environment.origin(parts -> "close");
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            String answer = client.request("OBJ.SET", "0a", "0b", "c=search-order,t=fraser-surveyors,d=1400", "title");
            assertEquals("-ERR failed", answer);
            assertEquals(1, origin.received.size());
            assertTrue(
                    origin.received.get(0).parts().toString(),
                    origin.received.get(0).parts().contains("title"));
        }
    }

    @Test
    public void aDrainingRouterGetsNoAttemptsAfterTheGracePeriod() throws Exception {
        BalancerEnvironment.StubServer drainingRouter = environment.router("s-a", 0, parts -> VALUE);
        BalancerEnvironment.StubServer activeRouter = environment.router("s-b", 0, parts -> VALUE);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            for (int key = 0; drainingRouter.received.isEmpty() || activeRouter.received.isEmpty(); key++) {
                assertEquals("v", client.request(mapRead(key, 1000)));
            }
            environment.publish(
                    2, BalancerEnvironment.endpoint("s-a", drainingRouter.port, "two-core", "terminating", 0));
            long graceEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(550);
            int requestsAfterGrace = 0;
            for (int key = 0; requestsAfterGrace < 200; key++) {
                assertEquals("v", client.request(mapRead(key, 1000)));
                requestsAfterGrace += System.nanoTime() > graceEndNanos ? 1 : 0;
            }
            assertFalse(drainingRouter.received.stream().anyMatch(message -> message.receivedNanos() > graceEndNanos));
        }
    }

    @Test
    public void aNewlyStartedRouterGetsFewerAttempts() throws IOException {
        BalancerEnvironment.StubServer newRouter =
                environment.router("s-a", System.currentTimeMillis(), parts -> VALUE);
        BalancerEnvironment.StubServer establishedRouter = environment.router("s-b", 0, parts -> VALUE);
        environment.start();
        try (BalancerEnvironment.Client client = environment.client()) {
            for (int key = 0; key < 300; key++) {
                assertEquals("v", client.request(mapRead(key, 1000)));
            }
        }
        assertTrue(
                newRouter.received.size() + " of 300",
                newRouter.received.size() * 3 < establishedRouter.received.size());
    }
}
