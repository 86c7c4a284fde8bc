package baymoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Counters;
import baymoor.link.IgnoringLinkEvents;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Several listeners on one set of sockets: each accepted connection belongs to the listener at its local address. */
public class MinaNetTest {

    private static final int TIMEOUT_SECONDS = 20;
    private static final int LISTENERS = 8;

    private final List<String> problems = new ArrayList<>();
    private final DecisionThread thread = new DecisionThread(new Counters(), problems::add);
    private final MinaNet net = new MinaNet(thread);

    @Before
    public void start() {
        new Thread(thread, "decisions").start();
    }

    @After
    public void close() {
        thread.stop();
        net.close();
    }

    private InetSocketAddress listenAs(String name) throws IOException {
        return listenAs(name, 0);
    }

    private InetSocketAddress listenAs(String name, int port) throws IOException {
        return net.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), link -> new IgnoringLinkEvents() {
                    @Override
                    public void opened() {
                        link.write((name + "\n").getBytes(StandardCharsets.US_ASCII));
                    }
                });
    }

    private static String firstLine(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            StringBuilder line = new StringBuilder();
            for (int b = socket.getInputStream().read();
                    b >= 0 && b != '\n';
                    b = socket.getInputStream().read()) {
                line.append((char) b);
            }
            return line.toString();
        }
    }

    /** Guards against connections that are handed to the listener that was added last. */
    @Test
    public void eachConnectionGoesToTheListenerAtItsAddress() throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < LISTENERS; i++) {
            addresses.add(listenAs("listener " + i));
            for (int j = 0; j <= i; j++) {
                assertEquals("listener " + j, firstLine(addresses.get(j)));
            }
        }
        assertEquals(List.of(), problems);
    }

    /** Guards against a connection without a handler, accepted while its listener is being closed. */
    @Test
    public void connectionsThatComeWhileAListenerClosesDoNoHarm() throws Exception {
        listenAs("other");
        AtomicBoolean stopped = new AtomicBoolean();
        CountDownLatch ended = new CountDownLatch(1);
        InetSocketAddress closing = listenAs("closing");
        Thread client = new Thread(() -> {
            while (!stopped.get()) {
                try {
                    firstLine(closing);
                } catch (IOException e) {
                    // Nothing listens there.
                }
            }
            ended.countDown();
        });
        client.start();
        for (int i = 0; i < 50; i++) {
            net.stopListening(closing);
            assertEquals(closing, listenAs("closing", closing.getPort()));
        }
        stopped.set(true);
        assertTrue(ended.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(List.of(), problems);
    }
}
