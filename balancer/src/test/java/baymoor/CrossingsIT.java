package baymoor;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import org.junit.After;
import org.junit.Test;

/**
 * Two events that cross, with the built program on loopback: the stand-ins hold one of them back until the other is seen to
 * have happened.
 */
public class CrossingsIT {

    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private final World world = new World();

    @After
    public void end() throws IOException {
        world.close();
    }

    /** A read that waits at its cache for as long as its client does. */
    private static String[] order(String id) {
        return new String[] {"OBJ.GET", "0a", id, "c=search-order,t=fraser-surveyors,d=15000"};
    }

    @Test
    public void aClientLeavesWhileTheConnectionForItsRequestIsComingUp() throws Exception {
        World.Late router = world.settings("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000")
                .new Late("s-a", VALUE);
        world.start();
        try (World.Client client = world.client()) {
            client.send(order("left"));
            world.counted("relays:1");
        }
        world.counted("requests_gone:1");
        router.answers.countDown();
        world.counted("connections_opened:1");
        try (World.Client client = world.client()) {
            assertEquals("v", client.ask(order("stays")));
        }
        assertEquals("stays", router.first().get(2));
    }

    @Test
    public void aClientLeavesOnceTheConnectionForItsRequestIsUp() throws Exception {
        World.Late router = world.settings("\"connect_timeout\": 250000", "\"connect_timeout\": 15000000")
                .new Late("s-a", VALUE);
        world.start();
        try (World.Client client = world.client()) {
            client.send(order("left"));
            world.counted("relays:1");
            router.answers.countDown();
            assertEquals("left", router.first().get(2));
        }
        world.counted("relays_served:1");
    }
}
