package baymoor.net;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Counters;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A connection's end against bytes that come in at that moment, over loopback; one of the two is held back for the other. */
public class MinaLinkTest {

    private static final int PATIENCE_SECONDS = 20;
    private final DecisionThread thread = new DecisionThread(new Counters(), line -> {});
    private final MinaNet net = new MinaNet(thread);
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
    /** What is done on the decision thread as bytes are told. */
    private volatile Consumer<String> act = text -> {};

    private Socket client;
    private Link link;

    @Before
    public void connect() throws IOException, InterruptedException {
        new Thread(thread, "decisions").start();
        InetSocketAddress at = net.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), l -> {
            links.add(l);
            return new LinkEvents() {
                @Override
                public void opened() {}

                @Override
                public void received(byte[] bytes) {
                    String text = new String(bytes, StandardCharsets.US_ASCII);
                    act.accept(text);
                    told.add(text);
                }

                @Override
                public void written() {}

                @Override
                public void finished() {
                    told.add("finished");
                }

                @Override
                public void closed() {
                    told.add("closed");
                }
            };
        });
        client = new Socket(at.getAddress(), at.getPort());
        client.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_SECONDS));
        link = links.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    @After
    public void end() throws IOException {
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

    private String next() throws InterruptedException {
        return told.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    }

    private void untilUnread() {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!link.unread() && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    @Test
    public void whatCameInBeforeTheEndIsToldAndTheConnectionStays() throws Exception {
        act = text -> {
            act = more -> {};
            send("b");
            untilUnread();
            link.finish(false);
        };
        send("a");
        assertEquals("a", next());
        assertEquals("b", next());
        thread.post(() -> link.write("answer\n".getBytes(StandardCharsets.US_ASCII)));
        assertEquals("answer", new String(client.getInputStream().readNBytes(6), StandardCharsets.US_ASCII));
        assertTrue(told.isEmpty());
    }

    /** Danger: the mark comes out after the bytes behind it were read and told, and takes the connection from under them. */
    @Test
    public void anEndThatWasOrderedBeforeMoreCameInIsVoidAlsoAfterThatWasTold() throws Exception {
        send("a");
        assertEquals("a", next());
        // More than a socket holds goes ahead of the mark, so that it waits until the client reads.
        byte[] much = new byte[8 << 20];
        thread.post(() -> {
            link.write(much);
            link.finish(false);
        });
        send("b");
        assertEquals("b", next());
        assertEquals(much.length, client.getInputStream().readNBytes(much.length).length);
        thread.post(() -> link.write(new byte[] {'x'}));
        assertEquals('x', client.getInputStream().read());
        assertTrue(told.isEmpty());
    }

    @Test
    public void whatComesInAfterTheEndIsDroppedAndTheAnswerIsTakenWhole() throws Exception {
        byte[] answer = new byte[300_000];
        act = text -> {
            link.write(answer);
            link.finish(false);
        };
        send("a");
        assertEquals("a", next());
        assertEquals("finished", next());
        send("more");
        assertEquals(answer.length, client.getInputStream().readAllBytes().length);
        client.close();
        assertEquals("closed", next());
    }

    @Test
    public void anEndInAnyCaseWaitsForNothingThatCameIn() throws Exception {
        act = text -> {
            act = more -> {};
            send("b");
            untilUnread();
            link.write(new byte[] {'x'});
            link.finish(true);
        };
        send("a");
        assertEquals('x', client.getInputStream().read());
        assertEquals("no reset", -1, client.getInputStream().read());
        assertEquals("a", next());
        assertEquals("b", next());
        assertEquals("finished", next());
    }

    @Test
    public void whoSendsOnAfterTheEndIsCutOff() throws Exception {
        act = text -> link.finish(true);
        send("a");
        assertEquals("a", next());
        assertEquals("finished", next());
        boolean cut = false;
        byte[] more = new byte[1 << 16];
        try {
            for (int i = 0; i < 1000; i++) {
                client.getOutputStream().write(more);
            }
        } catch (IOException e) {
            cut = true;
        }
        assertTrue(cut);
        assertEquals("closed", next());
        assertFalse(link.unread());
    }

    @Test
    public void theOtherSidesEndIsKnownBeforeItIsTold() throws Exception {
        act = text -> {
            try {
                client.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
            while (!link.over() && System.nanoTime() < until) {
                Thread.onSpinWait();
            }
            told.add("over " + link.over());
        };
        send("a");
        assertEquals("over true", next());
        assertEquals("a", next());
        assertEquals("closed", next());
    }
}
