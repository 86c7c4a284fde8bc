package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** The four rules, each on real sockets with the built program. */
public class RulesOnSocketsIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private final World world = new World();

    @After
    public void end() throws IOException {
        world.close();
    }

    private static String[] read(int key, int waitMillis) {
        String id = String.format("%016x", key);
        return new String[] {"OBJ.GET", id, id, "c=map-read,t=fraser-surveyors,d=" + waitMillis + ",h=120000"};
    }

    @Test
    public void everyRequestGetsOneAnswerBeforeItsClientGivesUp() throws IOException {
        world.router("s-a", 0, words -> null);
        world.start();
        try (World.Client client = world.client()) {
            long start = System.nanoTime();
            String answer = client.ask(read(1, 1400));
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(answer, answer.startsWith("-"));
            assertTrue("after " + millis + " ms", millis <= 1400 + 70);
            assertEquals(
                    "nothing but the next answer follows",
                    "PONG",
                    client.ask("PING").substring(1));
        }
    }

    @Test
    public void anEffectThatMayHaveHappenedIsNeitherRepeatedNorRefused() throws IOException {
        world.router("s-a", 0, words -> VALUE);
        World.Server origin = world.origin(words -> "close");
        world.start();
        try (World.Client client = world.client()) {
            String answer = client.ask("OBJ.SET", "0a", "0b", "c=search-order,t=fraser-surveyors,d=1400", "title");
            assertEquals("-ERR failed", answer);
            assertEquals(1, origin.got.size());
            assertTrue(
                    origin.got.get(0).words().toString(),
                    origin.got.get(0).words().contains("title"));
        }
    }

    @Test
    public void aDrainingRouterGetsNothingNewAfterTheGrace() throws Exception {
        World.Server leaving = world.router("s-a", 0, words -> VALUE);
        World.Server staying = world.router("s-b", 0, words -> VALUE);
        world.start();
        try (World.Client client = world.client()) {
            for (int key = 0; leaving.got.isEmpty() || staying.got.isEmpty(); key++) {
                assertEquals("v", client.ask(read(key, 1000)));
            }
            world.tell(2, World.endpoint("s-a", leaving.port, "two-core", "terminating", 0));
            long grace = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(550);
            int after = 0;
            for (int key = 0; after < 200; key++) {
                assertEquals("v", client.ask(read(key, 1000)));
                after += System.nanoTime() > grace ? 1 : 0;
            }
            assertFalse(leaving.got.stream().anyMatch(got -> got.nanos() > grace));
        }
    }

    @Test
    public void aRouterThatHasJustStartedIsSparedAtFirst() throws IOException {
        World.Server cold = world.router("s-a", System.currentTimeMillis(), words -> VALUE);
        World.Server warm = world.router("s-b", 0, words -> VALUE);
        world.start();
        try (World.Client client = world.client()) {
            for (int key = 0; key < 300; key++) {
                assertEquals("v", client.ask(read(key, 1000)));
            }
        }
        assertTrue(cold.got.size() + " of 300", cold.got.size() * 3 < warm.got.size());
    }
}
