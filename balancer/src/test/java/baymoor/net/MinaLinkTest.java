package baymoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Counters;
import baymoor.link.IgnoringLinkEvents;
import baymoor.link.Link;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Closing a connection while bytes arrive, over loopback; each test holds back one of the two events. */
public class MinaLinkTest {

    private static final int TIMEOUT_SECONDS = 20;
    private final DecisionThread thread = new DecisionThread(new Counters(), line -> {});
    private final MinaNet net = new MinaNet(thread);
    private final BlockingQueue<String> delivered = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
    /** Runs on the decision thread when bytes are delivered, before they are recorded. */
    private volatile Consumer<String> onReceived = text -> {};

    private Socket client;
    private Link link;

    @Before
    public void connect() throws IOException, InterruptedException {
        new Thread(thread, "decisions").start();
        InetSocketAddress address = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), l -> {
            links.add(l);
            return new IgnoringLinkEvents() {
                @Override
                public void received(byte[] bytes) {
                    String text = new String(bytes, StandardCharsets.US_ASCII);
                    onReceived.accept(text);
                    delivered.add(text);
                }

                @Override
                public void outputShutDown() {
                    delivered.add("finished");
                }

                @Override
                public void closed() {
                    delivered.add("closed");
                }
            };
        });
        client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        link = links.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @After
    public void close() throws IOException {
        client.close();
        thread.stop();
        net.close();
    }

    private void send(String text) {
        try {
            client.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private String nextDelivered() throws InterruptedException {
        return delivered.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void awaitUnread() {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (!link.hasUnreadBytes() && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void finishIsIgnoredWhenUnreadBytesArrivedBeforeIt() throws Exception {
        onReceived = text -> {
            onReceived = more -> {};
            send("b");
            awaitUnread();
            link.shutdownOutput(false);
        };
        send("a");
        assertEquals("a", nextDelivered());
        assertEquals("b", nextDelivered());
        thread.post(() -> link.write("answer\n".getBytes(StandardCharsets.US_ASCII)));
        assertEquals("answer", new String(client.getInputStream().readNBytes(6), StandardCharsets.US_ASCII));
        assertTrue(delivered.isEmpty());
    }

    /** Guards against a shutdown of the output after later bytes were delivered, whose response would be lost. */
    @Test
    public void queuedFinishIsIgnoredWhenBytesAreDeliveredBeforeItTakesEffect() throws Exception {
        send("a");
        assertEquals("a", nextDelivered());
        // More than the socket buffers hold, so that the queued finish waits until the client reads.
        byte[] largeResponse = new byte[8 << 20];
        thread.post(() -> {
            link.write(largeResponse);
            link.shutdownOutput(false);
        });
        send("b");
        assertEquals("b", nextDelivered());
        assertEquals(largeResponse.length, client.getInputStream().readNBytes(largeResponse.length).length);
        thread.post(() -> link.write(new byte[] {'x'}));
        assertEquals('x', client.getInputStream().read());
        assertTrue(delivered.isEmpty());
    }

    @Test
    public void bytesReceivedAfterFinishAreDiscardedAndTheResponseArrivesWhole() throws Exception {
        byte[] answer = new byte[300_000];
        onReceived = text -> {
            link.write(answer);
            link.shutdownOutput(false);
        };
        send("a");
        assertEquals("a", nextDelivered());
        assertEquals("finished", nextDelivered());
        send("more");
        assertEquals(answer.length, client.getInputStream().readAllBytes().length);
        client.close();
        assertEquals("closed", nextDelivered());
    }

    @Test
    public void finishEvenIfUnreadShutsDownOutputDespiteUnreadBytes() throws Exception {
        onReceived = text -> {
            onReceived = more -> {};
            send("b");
            awaitUnread();
            link.write(new byte[] {'x'});
            link.shutdownOutput(true);
        };
        send("a");
        assertEquals('x', client.getInputStream().read());
        assertEquals("no reset", -1, client.getInputStream().read());
        assertEquals("a", nextDelivered());
        assertEquals("b", nextDelivered());
        assertEquals("finished", nextDelivered());
    }

    @Test
    public void aClientThatKeepsSendingAfterFinishIsDisconnected() throws Exception {
        onReceived = text -> link.shutdownOutput(true);
        send("a");
        assertEquals("a", nextDelivered());
        assertEquals("finished", nextDelivered());
        boolean connectionReset = false;
        byte[] more = new byte[1 << 16];
        try {
            for (int i = 0; i < 1000; i++) {
                client.getOutputStream().write(more);
            }
        } catch (IOException e) {
            connectionReset = true;
        }
        assertTrue(connectionReset);
        assertEquals("closed", nextDelivered());
        assertFalse(link.hasUnreadBytes());
    }

    /** Guards against a window that only connections with a memory budget can have. */
    @Test
    public void theReceiveWindowOfAConnectionWithoutABudgetCanBeSet() throws Exception {
        onReceived = text -> link.setReceiveWindow(1 << 20);
        send("a");
        assertEquals("a", nextDelivered());
        onReceived = text -> {};
        send("b");
        assertEquals("b", nextDelivered());
    }

    /** Guards against a close that goes unnoticed since nothing is read any more. */
    @Test
    public void aCloseIsNoticedBehindDiscardedInput() throws Exception {
        onReceived = text -> link.discardInput();
        send("a");
        assertEquals("a", nextDelivered());
        send("more".repeat(500_000));
        client.close();
        assertEquals("closed", nextDelivered());
    }

    /** Guards against input that waited up to a second for the selector to notice that reading goes on. */
    @Test
    public void readingGoesOnAtOnceWhenItIsResumed() throws Exception {
        link.setReading(false);
        long sentNanos = System.nanoTime();
        int rounds = 20;
        for (int i = 0; i < rounds; i++) {
            send("a");
            thread.post(() -> link.setReading(true));
            assertEquals("a", nextDelivered());
            thread.post(() -> link.setReading(false));
            CountDownLatch paused = new CountDownLatch(1);
            thread.post(paused::countDown);
            assertTrue(paused.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
        long meanMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos) / rounds;
        assertTrue(meanMillis + " ms a round", meanMillis < 100);
    }

    /** Guards against the rest of a write that waited for the next one, as reading was paused and resumed before it had left. */
    @Test
    public void aWriteSentInPartGoesOnThoughReadingIsPausedAndResumed() throws Exception {
        byte[] reply = new byte[8 << 20];
        int chunkBytes = 100_000;
        thread.post(() -> link.write(reply));
        int received = 0;
        while (received < reply.length) {
            int wanted = Math.min(chunkBytes, reply.length - received);
            assertEquals(wanted, client.getInputStream().readNBytes(wanted).length);
            received += wanted;
            CountDownLatch resumed = new CountDownLatch(1);
            thread.post(() -> {
                link.setReading(false);
                link.setReading(true);
                resumed.countDown();
            });
            assertTrue(resumed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @Test
    public void overIsTrueBeforeTheClosedEventIsDelivered() throws Exception {
        onReceived = text -> {
            try {
                client.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (!link.isClosed() && System.nanoTime() < deadlineNanos) {
                Thread.onSpinWait();
            }
            delivered.add("over " + link.isClosed());
        };
        send("a");
        assertEquals("over true", nextDelivered());
        assertEquals("a", nextDelivered());
        assertEquals("closed", nextDelivered());
    }
}
