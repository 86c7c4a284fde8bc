package baymoor.scale.real;

import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Whom a guard watches over ends with it, and nobody else does. */
public class GuardTest {

    private static final long LONG_SECONDS = 20;

    private static Process sleeper() throws IOException {
        return new ProcessBuilder("sleep", "120").start();
    }

    @Test
    public void whoIsWatchedOverEndsAndWhoWasLetGoDoesNot() throws IOException, InterruptedException {
        Process watched = sleeper();
        Process released = sleeper();
        try {
            Guard guard = new Guard();
            guard.add(watched.pid());
            guard.add(released.pid());
            guard.remove(released.pid());
            guard.close();
            assertTrue(watched.waitFor(LONG_SECONDS, TimeUnit.SECONDS));
            assertTrue(released.isAlive());
        } finally {
            watched.destroyForcibly().waitFor();
            released.destroyForcibly().waitFor();
        }
    }
}
