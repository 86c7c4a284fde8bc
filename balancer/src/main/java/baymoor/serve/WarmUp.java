package baymoor.serve;

import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.dispatch.Dispatcher;
import baymoor.inventory.Inventory;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.memory.ClientMemory;
import baymoor.net.DecisionThread;
import baymoor.net.MinaNet;
import baymoor.north.North;
import baymoor.peers.Peers;
import baymoor.resp.RespWriter;
import baymoor.south.South;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import merlinstep.Decisions;
import org.json.JSONObject;

/**
 * Warms up the JVM before the balancer listens: sends requests through a separate set of the state machines, whose clients and
 * hosts are in-memory stubs. Otherwise class loading and interpreted code delay the first requests beyond their deadlines, and
 * every host appears unresponsive.
 */
final class WarmUp {

    private static final int CLIENTS = 4;
    private static final int MAX_HOST_CONNECTIONS = 64;
    private static final long HEAP_BYTES = 6 << 20;
    /** Of this many requests one is a miss and one is of each class but the first, since attempts at the origin are paced. */
    private static final int VARIANT_INTERVAL = 32;

    private static final long TIMEOUT_MILLIS = 1_000;
    private static final byte[] HIT_RESPONSE = RespWriter.utf8("*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n");
    private static final byte[] MISS_RESPONSE = RespWriter.utf8("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    private static final byte[] ORIGIN_RESPONSE = RespWriter.utf8("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");

    private final DecisionThread thread = new DecisionThread(new Counters(), line -> {});
    private final CountDownLatch remainingRequests;
    private final Decisions.Settings decisionSettings;
    private final North north;
    private int requestsSent;

    private WarmUp(Decisions.Settings decisionSettings, int requests) {
        this.decisionSettings = decisionSettings;
        remainingRequests = new CountDownLatch(requests);
        Counters counters = new Counters();
        Inventory inventory = new Inventory(millis -> millis, counters);
        Dispatcher dispatcher = new Dispatcher(
                Decisions.start(decisionSettings),
                decisionSettings.limits(),
                decisionSettings.classes(),
                thread,
                counters,
                line -> {});
        north = new North(
                thread,
                counters,
                decisionSettings.classes().stream()
                        .map(Decisions.RequestClass::name)
                        .collect(Collectors.toSet()),
                dispatcher,
                CLIENTS,
                CLIENTS,
                new ClientMemory(HEAP_BYTES, CLIENTS),
                counters::report);
        int originKind = decisionSettings.origin().kind();
        String origin = originKind >= 0 && originKind < decisionSettings.kinds().size()
                ? decisionSettings.kinds().get(originKind)
                : "";
        South south = new South(
                (to, events) -> new StubHost(events),
                thread,
                counters,
                inventory::entry,
                origin,
                List.of(),
                decisionSettings.limits(),
                MAX_HOST_CONNECTIONS,
                new ClientMemory(HEAP_BYTES, CLIENTS),
                dispatcher);
        dispatcher.connect(
                north,
                south,
                null,
                new Peers(List.of(), null, null, (to, content) -> {}, counters, dispatcher::peerMessageReceived));
        String cacheType = decisionSettings.kinds().stream()
                .filter(k -> !k.equals(origin))
                .findFirst()
                .orElse("");
        thread.post(() ->
                dispatcher.serverListChanged(inventory.applyConfiguredList(new JSONObject("{\"index\":1,\"endpoints\":["
                        + entry("a", cacheType) + "," + entry("b", cacheType) + "," + entry("o", origin) + "]}"))));
    }

    private static String entry(String name, String type) {
        return new JSONObject()
                .put("name", name)
                .put("address", "127.0.0.1:1")
                .put("type", type)
                .put("status", "in_service")
                .toString();
    }

    /**
     * Sends the given number of requests, for at most {@link #TIMEOUT_MILLIS}.
     *
     * @return whether all of them were answered
     */
    static boolean run(Decisions.Settings decisionSettings, int requests) {
        if (decisionSettings.classes().isEmpty()) {
            return false;
        }
        WarmUp warmUp = new WarmUp(decisionSettings, requests);
        for (int i = 0; i < CLIENTS; i++) {
            warmUp.thread.post(() -> warmUp.new StubClient().sendRequest());
        }
        new Thread(warmUp.thread, "rehearsal").start();
        await(warmUp.remainingRequests);
        warmUp.thread.stop();
        return warmUp.remainingRequests.getCount() == 0;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Sends the requests, then one datagram and one command over loopback, so that the CDS archive which the build makes
     * holds the classes of the network too.
     */
    static void runWithSockets(Settings settings, int requests) throws IOException {
        run(settings.decisionSettings(), requests);
        WarmUp socketWarmUp = new WarmUp(settings.decisionSettings(), 1);
        new Thread(socketWarmUp.thread, "rehearsal").start();
        MinaNet net = new MinaNet(socketWarmUp.thread);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CountDownLatch pendingExchanges = new CountDownLatch(2);
        InetSocketAddress peerAddress = net.listenToPeers(anyPort, (from, content) -> pendingExchanges.countDown());
        net.send(peerAddress, new byte[1]);
        InetSocketAddress address = net.listen(anyPort, socketWarmUp.north::accept);
        Link[] link = new Link[1];
        link[0] = net.dial(address, new LinkEvents() {
            @Override
            public void opened() {
                link[0].write(RespWriter.command(RespWriter.utf8("PING")));
            }

            @Override
            public void received(byte[] bytes) {
                pendingExchanges.countDown();
                link[0].close();
            }

            @Override
            public void written() {}

            @Override
            public void closed() {}
        });
        await(pendingExchanges);
        net.stopListening();
    }

    /** A connection without a socket; {@link #onWritten} stands for its peer. */
    private abstract class StubLink implements Link {
        LinkEvents events;
        private boolean closed;

        abstract void onWritten(byte[] bytes);

        @Override
        public void write(byte[] bytes) {
            thread.post(() -> events.written());
            onWritten(bytes);
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                thread.post(() -> events.closed());
            }
        }

        @Override
        public void shutdownOutput(boolean evenIfUnread) {
            close();
        }

        @Override
        public boolean hasUnreadBytes() {
            return false;
        }

        @Override
        public boolean isClosed() {
            return closed;
        }

        @Override
        public void setReading(boolean on) {}
    }

    private final class StubHost extends StubLink {
        StubHost(LinkEvents events) {
            this.events = events;
            thread.post(events::opened);
        }

        @Override
        void onWritten(byte[] bytes) {
            byte[] answer = bytes[0] != '*'
                    ? ORIGIN_RESPONSE
                    : requestsSent % VARIANT_INTERVAL == 0 ? MISS_RESPONSE : HIT_RESPONSE;
            thread.post(() -> events.received(answer));
        }
    }

    private final class StubClient extends StubLink {
        StubClient() {
            events = north.accept(this);
        }

        void sendRequest() {
            requestsSent++;
            int variant = requestsSent % VARIANT_INTERVAL;
            Decisions.RequestClass requestClass = decisionSettings
                    .classes()
                    .get(variant < decisionSettings.classes().size() ? variant : 0);
            boolean write = requestClass.effect() != Decisions.Effect.SAFE;
            byte[] name = RespWriter.utf8(write ? "OBJ.SET" : "OBJ.GET");
            byte[] key = RespWriter.utf8(Integer.toHexString(requestsSent % 100));
            byte[] id = RespWriter.utf8("rehearsal-" + requestsSent);
            byte[] facts = RespWriter.utf8(
                    "c=" + requestClass.name() + ",t=rehearsal,d=" + TIMEOUT_MILLIS + ",h=100,size=2.5");
            byte[] command = write
                    ? RespWriter.command(name, key, id, facts, "value".getBytes(StandardCharsets.US_ASCII))
                    : RespWriter.command(name, key, id, facts);
            thread.post(() -> events.received(command));
        }

        @Override
        void onWritten(byte[] bytes) {
            remainingRequests.countDown();
            if (remainingRequests.getCount() > 0) {
                sendRequest();
            }
        }
    }
}
