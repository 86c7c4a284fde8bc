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
 * The time that each further attempt tells routers and origin, read from the wire by stand-ins. Every bound follows from the order
 * of events and not from the machine's speed: a request had been read before its first attempt came, and an attempt can't leave
 * before the one ahead of it has ended. What is left to the client by then is the most that an attempt may tell. A bound on its
 * arrival would have to allow for client, balancer and stand-in that are held up themselves.
 */
public class ToldTimeIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private static final String MISS = "*3\r\n$-1\r\n$-1\r\n$-1\r\n";
    private static final String BUSY = "-BUSY\r\n";
    private static final String FETCHED = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv";
    private static final String FAILED = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";
    private static final String RESET = "close";
    /** Null to the stand-in: it does not answer, and the balancer's time-out ends the attempt. */
    private static final String SILENCE = null;

    private static final String HANGS = "hangs";
    private static final long DEADLINE_MILLIS = 6_000;
    /** As long as the balancer allows a connection to come up in the tests of late ones. */
    private static final long LONG_DEADLINE_MILLIS = 15_000;
    /** How long a stand-in holds back its answer. An attempt that tells the client's own deadline tells too much by as much. */
    private static final long HELD_MILLIS = 200;
    /** So many unanswered attempts put a router in doubt: then an attempt gets a part of the time that is left. */
    private static final int UNANSWERED_FOR_DOUBT = 3;

    private static final Pattern TOLD = Pattern.compile("(?:.*[ ,])?d=([0-9]+)(?:,.*)?");

    private final World world = new World();
    /** Attempts of the request that is looked at, in the order in which they came. */
    private final List<Attempt> attempts = new ArrayList<>();
    /** How these attempts end, in order; what comes after them is served. */
    private List<String> ends = List.of();

    private int requests;
    /** Unanswered requests that are not looked at, by the time of their first attempt. */
    private final BlockingQueue<Long> hanging = new LinkedBlockingQueue<>();

    /**
     * One attempt as a stand-in got it.
     *
     * @param cameNanos  when it came
     * @param endedNanos when the stand-in let it end, or 0 where the balancer's time-out has to
     */
    private record Attempt(boolean origin, long toldMillis, long cameNanos, long endedNanos) {

        /**
         * At least so much of the client's time has passed when an attempt that follows this one leaves.
         *
         * @param passedNanos the same for this attempt
         * @param firstNanos  when the first attempt of the request came
         */
        long passedAtNext(long passedNanos, long firstNanos) {
            return endedNanos > 0
                    ? Math.max(passedNanos, endedNanos - firstNanos)
                    : passedNanos + TimeUnit.MILLISECONDS.toNanos(toldMillis);
        }

        String to() {
            return origin ? "origin" : "router";
        }
    }

    @After
    public void end() throws IOException {
        world.close();
    }

    private String routerAnswers(List<String> words) {
        if (words.get(2).startsWith(HANGS)) {
            hanging.add(System.nanoTime());
            return SILENCE;
        }
        return next(false, words.get(3));
    }

    private String originAnswers(List<String> words) {
        String facts = words.stream()
                .filter(header -> header.startsWith("x-facts: "))
                .findFirst()
                .orElseThrow();
        return next(true, facts);
    }

    /** Keeps what an attempt told, and ends it as the test says. Attempts of one request come one after another. */
    private synchronized String next(boolean origin, String facts) {
        Matcher told = TOLD.matcher(facts);
        long toldMillis = told.matches() ? Long.parseLong(told.group(1)) : Long.MAX_VALUE;
        long cameNanos = System.nanoTime();
        String end = attempts.size() < ends.size() ? ends.get(attempts.size()) : origin ? FETCHED : VALUE;
        if (end != SILENCE) {
            hold();
        }
        attempts.add(new Attempt(origin, toldMillis, cameNanos, end == SILENCE ? 0 : System.nanoTime()));
        return end;
    }

    private static void hold() {
        try {
            Thread.sleep(HELD_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String[] read(String id, long deadlineMillis) {
        return new String[] {"OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=" + deadlineMillis};
    }

    /** Asks once, and checks where each attempt went and that none told more time than was left to the client. */
    private void attemptsGoTo(List<String> expected, String... endsInOrder) throws IOException {
        synchronized (this) {
            ends = Arrays.asList(endsInOrder);
            attempts.clear();
        }
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(read("id" + requests++, DEADLINE_MILLIS)));
        }
        synchronized (this) {
            toldAtMostWhatWasLeft();
            assertEquals(expected, attempts.stream().map(Attempt::to).toList());
        }
    }

    private void toldAtMostWhatWasLeft() {
        long firstNanos = attempts.get(0).cameNanos();
        long passedNanos = 0;
        for (Attempt attempt : attempts) {
            toldAtMost(attempt, DEADLINE_MILLIS, passedNanos);
            passedNanos = attempt.passedAtNext(passedNanos, firstNanos);
        }
    }

    private void toldAtMost(Attempt attempt, long deadlineMillis, long passedNanos) {
        long left = deadlineMillis - TimeUnit.NANOSECONDS.toMillis(passedNanos);
        assertTrue(attempts + ": " + left + " ms were left", attempt.toldMillis() <= left);
        assertTrue(attempts.toString(), attempt.toldMillis() > 0);
    }

    private void start() throws IOException {
        inNoHurry();
        world.router("s-a", 0, this::routerAnswers);
        world.origin(this::originAnswers);
        world.start();
    }

    @Test
    public void afterAMissTheOriginIsToldWhatIsLeft() throws IOException {
        start();
        attemptsGoTo(List.of("router", "origin"), MISS);
    }

    @Test
    public void afterAResetTheRouterAndThenTheOriginAreToldWhatIsLeft() throws IOException {
        start();
        attemptsGoTo(List.of("router", "router"), RESET);
        attemptsGoTo(List.of("router", "router", "origin"), RESET, MISS);
    }

    @Test
    public void afterAResetOrAFailureOfTheOriginItIsToldWhatIsLeft() throws IOException {
        start();
        attemptsGoTo(List.of("router", "origin", "origin"), MISS, RESET);
        attemptsGoTo(List.of("router", "origin", "origin"), MISS, FAILED);
    }

    @Test
    public void afterBeingTurnedAwayTheNextAttemptsAreToldWhatIsLeft() throws IOException {
        start();
        attemptsGoTo(List.of("router", "router", "origin"), BUSY, MISS);
    }

    /**
     * The time told is the time kept: the attempt that timed out was waited for as long as it told, so that its time and the next
     * one's are together no more than the client's.
     */
    @Test
    public void afterATimeOutTheRouterAndThenTheOriginAreToldWhatIsLeft() throws Exception {
        start();
        attemptsGoTo(List.of("router"));
        List<World.Client> clients = new ArrayList<>();
        for (int i = 0; i < UNANSWERED_FOR_DOUBT; i++) {
            World.Client client = world.client();
            clients.add(client);
            client.send(read(HANGS + i, DEADLINE_MILLIS));
            assertTrue("the attempt came", hanging.poll(20, TimeUnit.SECONDS) != null);
        }
        attemptsGoTo(List.of("router", "router", "origin"), SILENCE, MISS);
        for (World.Client client : clients) {
            client.close();
        }
    }

    @Test
    public void afterAWaitForItsConnectionTheRouterIsToldWhatIsLeft() throws Exception {
        World.Late router = slowConnections().new Late("s-a", "two-core", this::routerAnswers);
        world.start();
        toldWhatIsLeftAfterAWait(router, List.of("router"));
    }

    @Test
    public void afterAMissAndAWaitForItsConnectionTheOriginIsToldWhatIsLeft() throws Exception {
        world.router("s-a", 0, this::routerAnswers);
        World.Late origin = slowConnections().new Late("s-origin", "origin", this::originAnswers);
        ends = List.of(MISS);
        world.start();
        toldWhatIsLeftAfterAWait(origin, List.of("router", "origin"));
    }

    /**
     * The last attempt waits for its connection, which can't come up before the late host takes it. The class is one whose attempts
     * are waited for as long as the client waits, so that time told as of the order would be too much.
     */
    private void toldWhatIsLeftAfterAWait(World.Late late, List<String> expected) throws Exception {
        try (World.Client client = world.client()) {
            client.send("OBJ.GET", "0a", "id", "c=search-order,t=fraser-surveyors,d=" + LONG_DEADLINE_MILLIS);
            world.counted("relays:" + expected.size());
            long orderedNanos = System.nanoTime();
            hold();
            long upNanos = System.nanoTime();
            late.answers.countDown();
            assertEquals("v", client.answer());
            synchronized (this) {
                assertEquals(expected, attempts.stream().map(Attempt::to).toList());
                long readNanos = expected.size() > 1 ? attempts.get(0).cameNanos() : orderedNanos; // or before
                toldAtMost(attempts.get(attempts.size() - 1), LONG_DEADLINE_MILLIS, upNanos - readNanos);
            }
        }
    }

    /** Aims that a machine at work on much else keeps too. */
    private World inNoHurry() {
        return world.with("\"on_time\": 800000", "\"on_time\": 4000000");
    }

    private World slowConnections() {
        return inNoHurry().with("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000");
    }
}
