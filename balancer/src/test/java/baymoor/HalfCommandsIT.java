package baymoor;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.After;
import org.junit.Test;

/** Clients that send half a command and stay, more than the built balancer has places for. */
public class HalfCommandsIT {

    private static final String HALF_COMMAND = "*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a";
    private static final String VALUE = "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n";
    private static final int HALF_COMMANDS = 150;
    private static final int REQUESTS = 20;
    private static final int DEADLINE_MILLIS = 600;
    /** A request is lost half a second after its time; time limits on sockets are 50 ms longer. */
    private static final int LOST_MILLIS = 550;
    /** An attempt may tell 0.15 s more than is left to the client; time limits on sockets are 50 ms longer. */
    private static final int TOLD_SLACK_MILLIS = 200;

    private final BalancerEnvironment environment = new BalancerEnvironment();
    private final List<Closeable> connections = new ArrayList<>();

    @After
    public void closeEnvironment() throws IOException {
        for (Closeable connection : connections) {
            connection.close();
        }
        environment.close();
    }

    /** Guards against requests that wait unread behind half commands, and whose attempts tell time that is over. */
    @Test
    public void requestsOnNewConnectionsAreAnsweredInTimeThoughHalfCommandsTakeAllPlaces() throws Exception {
        ConcurrentHashMap<String, Long> sentNanos = new ConcurrentHashMap<>();
        List<String> toldTooMuch = new ArrayList<>();
        environment.router("s-a", 0, parts -> {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos.get(parts.get(2)));
            long told = Long.parseLong(parts.get(3).replaceAll(".*,d=(\\d+).*", "$1"));
            if (told > DEADLINE_MILLIS - elapsedMillis + TOLD_SLACK_MILLIS) {
                toldTooMuch.add(told + " ms after " + elapsedMillis);
            }
            return VALUE;
        });
        environment.replacing("\"sockets\":1024", "\"sockets\":256").start();
        for (int i = 0; i < HALF_COMMANDS; i++) {
            BalancerEnvironment.Client client = environment.client();
            connections.add(client);
            client.sendRaw(HALF_COMMAND);
        }
        for (int i = 0; i < REQUESTS; i++) {
            String id = "whole" + i;
            try (BalancerEnvironment.Client client = environment.client()) {
                sentNanos.put(id, System.nanoTime());
                client.send("OBJ.GET", "0a", id, "c=map-read,t=fraser-surveyors,d=" + DEADLINE_MILLIS + ",h=120000");
                String answer = client.readAnswer();
                long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos.get(id));
                assertTrue(answer + " after " + elapsedMillis + " ms", elapsedMillis <= DEADLINE_MILLIS + LOST_MILLIS);
            }
        }
        assertEquals(List.of(), toldTooMuch);
    }
}
