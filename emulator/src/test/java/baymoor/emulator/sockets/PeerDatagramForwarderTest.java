package baymoor.emulator.sockets;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import baymoor.counters.Counters;
import baymoor.emulator.chance.Streams;
import baymoor.emulator.fabric.Fabric;
import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.After;
import org.junit.Test;

/** Each balancer sends each other one numbered datagrams: what is not lost on purpose arrives once, as from its sender. */
public class PeerDatagramForwarderTest {

    private static final int BALANCERS = 4;
    private static final int ROUNDS = 20;
    private static final int ALL = BALANCERS * (BALANCERS - 1) * ROUNDS;
    private static final int TIMEOUT_MILLIS = 10_000;
    /** Longer than any datagram is delayed; after it no more arrive. */
    private static final int QUIET_MILLIS = 300;

    private final List<String> problems = Collections.synchronizedList(new ArrayList<>());
    private final DecisionThread thread = new DecisionThread(new Counters(), problems::add);
    private final MinaNet net = new MinaNet(thread);
    private final DatagramSocket[] balancers = new DatagramSocket[BALANCERS];
    private SocketPlatform platform;

    @After
    public void close() {
        for (DatagramSocket socket : balancers) {
            if (socket != null) {
                socket.close();
            }
        }
        if (platform != null) {
            platform.close();
        }
        thread.stop();
        net.close();
    }

    private void open(String faults) throws IOException {
        Scenario scenario = ScenarioReader.own(
                "zones = [\"a\", \"b\"]\n[balancers]\ncount = " + BALANCERS + "\n[net]\n" + faults, "peers");
        platform = new SocketPlatform(thread, net, scenario, new Streams(1));
        new Thread(thread, "decisions").start();
        platform.openPeers();
        for (int i = 0; i < BALANCERS; i++) {
            bind(i);
        }
    }

    private void bind(int number) throws SocketException {
        balancers[number] = new DatagramSocket(null);
        balancers[number].setReuseAddress(true);
        balancers[number].bind(platform.peer(number, number));
    }

    private void sendRound(int round) throws IOException {
        for (int from = 0; from < BALANCERS; from++) {
            for (int to = 0; to < BALANCERS; to++) {
                if (from != to) {
                    byte[] text = (from + ">" + to + " #" + round).getBytes(StandardCharsets.US_ASCII);
                    balancers[from].send(new DatagramPacket(text, text.length, platform.peer(to, from)));
                }
            }
        }
    }

    private void sendAll() throws IOException {
        for (int round = 0; round < ROUNDS; round++) {
            sendRound(round);
        }
    }

    /** Returns the texts that have arrived, until so many have, or none has for some time, which depends on {@code count}. */
    private List<String> receive(int count, int quietMillis) throws IOException {
        List<String> texts = new ArrayList<>();
        long quietSinceNanos = System.nanoTime();
        while (texts.size() < count
                && TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - quietSinceNanos) < quietMillis) {
            for (int to = 0; to < BALANCERS; to++) {
                DatagramPacket packet = new DatagramPacket(new byte[64], 64);
                balancers[to].setSoTimeout(1);
                try {
                    balancers[to].receive(packet);
                } catch (SocketTimeoutException e) {
                    continue;
                }
                quietSinceNanos = System.nanoTime();
                String text = new String(packet.getData(), 0, packet.getLength(), StandardCharsets.US_ASCII);
                texts.add(text);
                checkRoute(text, to, (InetSocketAddress) packet.getSocketAddress());
            }
        }
        return texts;
    }

    private void checkRoute(String text, int receiver, InetSocketAddress source) {
        int sender = text.charAt(0) - '0';
        int addressee = text.charAt(2) - '0';
        if (addressee != receiver) {
            problems.add(text + " arrived at " + receiver);
        } else if (!source.equals(platform.peer(sender, receiver))) {
            problems.add(text + " came as from " + source);
        }
    }

    /** Guards against datagrams that go the way of their sender's first one. */
    @Test
    public void eachDatagramArrivesOnceAtItsReceiverAsFromItsSender() throws Exception {
        open("datagram_loss = \"0%\"\ndatagram_double = \"0%\"\n");
        sendAll();
        List<String> texts = receive(ALL, TIMEOUT_MILLIS);
        texts.addAll(receive(1, QUIET_MILLIS));
        assertEquals(List.of(), problems);
        assertEquals(ALL, texts.size());
        assertEquals(ALL, texts.stream().distinct().count());
    }

    @Test
    public void datagramsArriveAfterABalancerHasStartedAgainAtItsAddress() throws Exception {
        open("datagram_loss = \"0%\"\ndatagram_double = \"0%\"\n");
        sendRound(0);
        int all = BALANCERS * (BALANCERS - 1);
        assertEquals(all, receive(all, TIMEOUT_MILLIS).size());
        balancers[1].close();
        // The receiver is down, which must not harm later datagrams. Delayed, it may still come to the one started
        // next.
        byte[] between = "0>1 #between".getBytes(StandardCharsets.US_ASCII);
        balancers[0].send(new DatagramPacket(between, between.length, platform.peer(1, 0)));
        awaitDatagrams(all + 1);
        bind(1);
        sendRound(1);
        List<String> texts = new ArrayList<>();
        while (texts.size() < all) {
            List<String> next = receive(1, TIMEOUT_MILLIS);
            assertFalse("no more than " + texts, next.isEmpty());
            next.stream().filter(text -> text.endsWith("#1")).forEach(texts::add);
        }
        assertEquals(List.of(), problems);
        assertEquals(all, texts.stream().distinct().count());
    }

    @Test
    public void withLossDelayAndDuplicatesTheCountsAreThoseOfTheFabric() throws Exception {
        open("datagram = [\"1ms\", \"50ms\"]\ndatagram_loss = \"20%\"\ndatagram_double = \"20%\"\n");
        sendAll();
        awaitDatagrams(ALL);
        Fabric.Counts counts = counts();
        long expected = ALL - counts.datagramsLost() + counts.datagramsDoubled();
        List<String> texts = receive((int) expected, TIMEOUT_MILLIS);
        texts.addAll(receive(1, QUIET_MILLIS));
        assertEquals(List.of(), problems);
        assertTrue(counts.toString(), counts.datagramsLost() > 0 && counts.datagramsDoubled() > 0);
        assertEquals(counts.toString(), expected, texts.size());
        assertEquals(
                counts.toString(),
                ALL - counts.datagramsLost(),
                texts.stream().distinct().count());
    }

    private Fabric.Counts counts() throws InterruptedException {
        AtomicReference<Fabric.Counts> counts = new AtomicReference<>();
        CountDownLatch read = new CountDownLatch(1);
        thread.post(() -> {
            counts.set(platform.faults());
            read.countDown();
        });
        assertTrue(read.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        return counts.get();
    }

    private void awaitDatagrams(long count) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (counts().datagrams() < count && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertEquals(count, counts().datagrams());
    }
}
