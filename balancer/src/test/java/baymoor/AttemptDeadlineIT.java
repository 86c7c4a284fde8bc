package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.After;
import org.junit.Test;

/**
 * The deadline that each attempt carries to a router or the origin must not exceed the client's remaining time. The bounds follow
 * from the order of events, not from timing: a request is read before its first attempt arrives, and an attempt is sent after the
 * previous one has ended. So a slow machine cannot fail these tests.
 */
public class AttemptDeadlineIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private static final String MISS = "*3\r\n$-1\r\n$-1\r\n$-1\r\n";
    private static final String BUSY = "-BUSY\r\n";
    private static final String ORIGIN_VALUE = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv";
    private static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    private static final String RESET = "close";
    /** The stub server does not answer, and the balancer's timeout ends the attempt. */
    private static final String NO_RESPONSE = null;

    private static final String HANGING_ID_PREFIX = "hangs";
    private static final long DEADLINE_MILLIS = 6_000;
    /** As long as the connect timeout in the tests of delayed connections. */
    private static final long LONG_DEADLINE_MILLIS = 15_000;
    /** How long a stub server delays its answer: by this much the client's original deadline exceeds the remaining time. */
    private static final long ANSWER_DELAY_MILLIS = 200;
    /** After this many unanswered attempts a router is suspect, and an attempt gets only a part of the remaining time. */
    private static final int TIMEOUTS_BEFORE_SUSPECT = 3;

    private static final Pattern DEADLINE_FACT = Pattern.compile("(?:.*[ ,])?d=([0-9]+)(?:,.*)?");

    private final BalancerEnvironment environment = new BalancerEnvironment();
    /** Attempts of the request under test, in order of arrival. */
    private final List<Attempt> attempts = new ArrayList<>();
    /** Responses to these attempts, in order; further attempts are served. */
    private List<String> responses = List.of();

    private int requestCount;
    /** Arrival times of the attempts that are left unanswered to make a router suspect. */
    private final BlockingQueue<Long> hanging = new LinkedBlockingQueue<>();

    /**
     * One attempt as a stub server received it.
     *
     * @param receivedNanos when it arrived
     * @param answeredNanos when the stub server answered, or 0 where the balancer's timeout ends the attempt
     */
    private record Attempt(boolean origin, long deadlineMillis, long receivedNanos, long answeredNanos) {

        /**
         * Returns a lower bound on the client's elapsed time when the next attempt is sent.
         *
         * @param elapsedNanos       the same for this attempt
         * @param firstReceivedNanos when the first attempt of the request arrived
         */
        long elapsedAtNext(long elapsedNanos, long firstReceivedNanos) {
            return answeredNanos > 0
                    ? Math.max(elapsedNanos, answeredNanos - firstReceivedNanos)
                    : elapsedNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
        }

        String target() {
            return origin ? "origin" : "router";
        }
    }

    @After
    public void closeEnvironment() throws IOException {
        environment.close();
    }

    private String routerResponse(List<String> parts) {
        if (parts.get(2).startsWith(HANGING_ID_PREFIX)) {
            hanging.add(System.nanoTime());
            return NO_RESPONSE;
        }
        return nextResponse(false, parts.get(3));
    }

    private String originResponse(List<String> parts) {
        String facts = parts.stream()
                .filter(header -> header.startsWith("x-facts: "))
                .findFirst()
                .orElseThrow();
        return nextResponse(true, facts);
    }

    /** Records an attempt and returns the response that the test has set. Attempts of one request are sequential. */
    private synchronized String nextResponse(boolean origin, String facts) {
        Matcher deadline = DEADLINE_FACT.matcher(facts);
        long deadlineMillis = deadline.matches() ? Long.parseLong(deadline.group(1)) : Long.MAX_VALUE;
        long receivedNanos = System.nanoTime();
        String response =
                attempts.size() < responses.size() ? responses.get(attempts.size()) : origin ? ORIGIN_VALUE : VALUE;
        if (response != NO_RESPONSE) {
            delayAnswer();
        }
        attempts.add(
                new Attempt(origin, deadlineMillis, receivedNanos, response == NO_RESPONSE ? 0 : System.nanoTime()));
        return response;
    }

    private static void delayAnswer() {
        try {
            Thread.sleep(ANSWER_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String[] mapRead(String id, long deadlineMillis) {
        return new String[] {"OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=" + deadlineMillis};
    }

    /** Sends one request, and checks the target of each attempt and that its deadline is within the client's remaining time. */
    private void assertAttempts(List<String> expected, String... responsesInOrder) throws IOException {
        synchronized (this) {
            responses = Arrays.asList(responsesInOrder);
            attempts.clear();
        }
        try (BalancerEnvironment.Client client = environment.client()) {
            assertEquals("v", client.request(mapRead("id" + requestCount++, DEADLINE_MILLIS)));
        }
        synchronized (this) {
            assertDeadlinesWithinRemainingTime();
            assertEquals(expected, attempts.stream().map(Attempt::target).toList());
        }
    }

    private void assertDeadlinesWithinRemainingTime() {
        long firstReceivedNanos = attempts.get(0).receivedNanos();
        long elapsedNanos = 0;
        for (Attempt attempt : attempts) {
            assertDeadlineWithin(attempt, DEADLINE_MILLIS, elapsedNanos);
            elapsedNanos = attempt.elapsedAtNext(elapsedNanos, firstReceivedNanos);
        }
    }

    private void assertDeadlineWithin(Attempt attempt, long deadlineMillis, long elapsedNanos) {
        long remainingMillis = deadlineMillis - TimeUnit.NANOSECONDS.toMillis(elapsedNanos);
        assertTrue(attempts + ": " + remainingMillis + " ms remained", attempt.deadlineMillis() <= remainingMillis);
        assertTrue(attempts.toString(), attempt.deadlineMillis() > 0);
    }

    private void start() throws IOException {
        withLongTargetLatency();
        environment.router("s-a", 0, this::routerResponse);
        environment.origin(this::originResponse);
        environment.start();
    }

    @Test
    public void afterAMissTheOriginGetsTheRemainingTime() throws IOException {
        start();
        assertAttempts(List.of("router", "origin"), MISS);
    }

    @Test
    public void afterAResetRouterAndOriginGetTheRemainingTime() throws IOException {
        start();
        assertAttempts(List.of("router", "router"), RESET);
        assertAttempts(List.of("router", "router", "origin"), RESET, MISS);
    }

    @Test
    public void afterAnOriginResetOrFailureTheRetryGetsTheRemainingTime() throws IOException {
        start();
        assertAttempts(List.of("router", "origin", "origin"), MISS, RESET);
        assertAttempts(List.of("router", "origin", "origin"), MISS, FAILED);
    }

    @Test
    public void afterABusyReplyTheNextAttemptsGetTheRemainingTime() throws IOException {
        start();
        assertAttempts(List.of("router", "router", "origin"), BUSY, MISS);
    }

    /** An attempt that times out has used up its own deadline, which the next one must leave out. */
    @Test
    public void afterATimeoutRouterAndOriginGetTheRemainingTime() throws Exception {
        start();
        assertAttempts(List.of("router"));
        List<BalancerEnvironment.Client> clients = new ArrayList<>();
        for (int i = 0; i < TIMEOUTS_BEFORE_SUSPECT; i++) {
            BalancerEnvironment.Client client = environment.client();
            clients.add(client);
            client.send(mapRead(HANGING_ID_PREFIX + i, DEADLINE_MILLIS));
            assertTrue("the attempt has arrived", hanging.poll(20, TimeUnit.SECONDS) != null);
        }
        assertAttempts(List.of("router", "router", "origin"), NO_RESPONSE, MISS);
        for (BalancerEnvironment.Client client : clients) {
            client.close();
        }
    }

    @Test
    public void afterAConnectionDelayTheRouterGetsTheRemainingTime() throws Exception {
        BalancerEnvironment.DelayedServer router =
                withLongConnectTimeout().new DelayedServer("s-a", "two-core", this::routerResponse);
        environment.start();
        assertDeadlineAfterConnectionDelay(router, List.of("router"));
    }

    @Test
    public void afterAMissAndAConnectionDelayTheOriginGetsTheRemainingTime() throws Exception {
        environment.router("s-a", 0, this::routerResponse);
        BalancerEnvironment.DelayedServer origin =
                withLongConnectTimeout().new DelayedServer("s-origin", "origin", this::originResponse);
        responses = List.of(MISS);
        environment.start();
        assertDeadlineAfterConnectionDelay(origin, List.of("router", "origin"));
    }

    /**
     * Delays the connection of the last attempt. The request's class grants an attempt the client's whole remaining time, so a
     * deadline computed before the connection was established would be too long.
     */
    private void assertDeadlineAfterConnectionDelay(
            BalancerEnvironment.DelayedServer delayedServer, List<String> expected) throws Exception {
        try (BalancerEnvironment.Client client = environment.client()) {
            client.send("OBJ.GET", "0a", "id", "c=search-order,t=fraser-surveyors,d=" + LONG_DEADLINE_MILLIS);
            environment.awaitCounter("relays:" + expected.size());
            long attemptStartedNanos = System.nanoTime();
            delayAnswer();
            long acceptedNanos = System.nanoTime();
            delayedServer.acceptConnections.countDown();
            assertEquals("v", client.readAnswer());
            synchronized (this) {
                assertEquals(expected, attempts.stream().map(Attempt::target).toList());
                long requestReadNanos =
                        expected.size() > 1 ? attempts.get(0).receivedNanos() : attemptStartedNanos; // at the latest
                assertDeadlineWithin(
                        attempts.get(attempts.size() - 1), LONG_DEADLINE_MILLIS, acceptedNanos - requestReadNanos);
            }
        }
    }

    /** Sets a latency target that a busy machine meets too. */
    private BalancerEnvironment withLongTargetLatency() {
        return environment.replacing("\"on_time\": 800000", "\"on_time\": 4000000");
    }

    private BalancerEnvironment withLongConnectTimeout() {
        return withLongTargetLatency().replacing("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000");
    }
}
