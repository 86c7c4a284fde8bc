package baymoor.serve;

import baymoor.config.Settings;
import baymoor.counters.Counters;
import baymoor.dispatch.Dispatcher;
import baymoor.inventory.Inventory;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
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
 * Plays requests through a second set of the state machines, with hosts that are a few lines here and no socket, before
 * the first client comes. Seen: on half a core the first requests of a new JVM took half a second, in which classes
 * were loaded and nothing compiled; clients gave up, and every host seemed silent.
 */
final class Rehearsal {

    private static final int CLIENTS = 4;
    private static final int REST_LANES = 64;
    private static final long MOST_VALUE_BYTES = 1 << 20;
    /** One in so many is a miss, and one a write of each kind: what goes to the origin is paced. */
    private static final int VARIETY = 32;

    private static final long END_MILLIS = 1_000;
    private static final byte[] HIT = RespWriter.ascii("*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n");
    private static final byte[] MISS = RespWriter.ascii("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    private static final byte[] FETCHED = RespWriter.ascii("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");

    private final DecisionThread thread = new DecisionThread(new Counters(), line -> {});
    private final CountDownLatch played;
    private final Decisions.Settings module;
    private final North north;
    private int asked;

    private Rehearsal(Decisions.Settings module, int requests) {
        this.module = module;
        played = new CountDownLatch(requests);
        Counters counters = new Counters();
        Inventory inventory = new Inventory(millis -> millis, counters);
        Dispatcher dispatcher = new Dispatcher(
                Decisions.start(module), module.limits(), module.classes(), thread, counters, line -> {});
        north = new North(
                thread,
                counters,
                module.classes().stream().map(Decisions.RequestClass::name).collect(Collectors.toSet()),
                dispatcher,
                CLIENTS,
                CLIENTS,
                MOST_VALUE_BYTES,
                counters::report);
        int kind = module.origin().kind();
        String origin =
                kind >= 0 && kind < module.kinds().size() ? module.kinds().get(kind) : "";
        South south = new South(
                (to, events) -> new Host(events),
                thread,
                counters,
                inventory::entry,
                origin,
                List.of(),
                module.limits(),
                REST_LANES,
                dispatcher);
        dispatcher.connect(
                north, south, null, new Peers(List.of(), null, null, (to, content) -> {}, counters, dispatcher::heard));
        String other = module.kinds().stream()
                .filter(k -> !k.equals(origin))
                .findFirst()
                .orElse("");
        thread.post(() -> dispatcher.listed(inventory.known(new JSONObject("{\"index\":1,\"endpoints\":["
                + entry("a", other) + "," + entry("b", other) + "," + entry("o", origin) + "]}"))));
    }

    private static String entry(String name, String type) {
        return new JSONObject()
                .put("name", name)
                .put("address", "127.0.0.1:1")
                .put("type", type)
                .put("status", "in_service")
                .toString();
    }

    /** Plays so many requests, or for a second; gives whether all were answered. */
    static boolean play(Decisions.Settings module, int requests) {
        if (module.classes().isEmpty()) {
            return false;
        }
        Rehearsal rehearsal = new Rehearsal(module, requests);
        for (int i = 0; i < CLIENTS; i++) {
            rehearsal.thread.post(() -> rehearsal.new Client().ask());
        }
        new Thread(rehearsal.thread, "rehearsal").start();
        await(rehearsal.played);
        rehearsal.thread.stop();
        return rehearsal.played.getCount() == 0;
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(END_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** As the build does it, for the archive of classes: the play, and one exchange over loopback each way. */
    static void full(Settings settings, int requests) throws IOException {
        play(settings.module(), requests);
        Rehearsal sockets = new Rehearsal(settings.module(), 1);
        new Thread(sockets.thread, "rehearsal").start();
        MinaNet net = new MinaNet(sockets.thread);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        CountDownLatch heard = new CountDownLatch(2);
        InetSocketAddress peers = net.listenToPeers(any, (from, content) -> heard.countDown());
        net.send(peers, new byte[1]);
        InetSocketAddress at = net.listen(any, sockets.north::client);
        Link[] link = new Link[1];
        link[0] = net.dial(at, new LinkEvents() {
            @Override
            public void opened() {
                link[0].write(RespWriter.command(RespWriter.ascii("PING")));
            }

            @Override
            public void received(byte[] bytes) {
                heard.countDown();
                link[0].close();
            }

            @Override
            public void written() {}

            @Override
            public void closed() {}
        });
        await(heard);
        net.stopListening();
    }

    /** A connection without a socket: what is written to it comes back as its other side's answer. */
    private abstract class Stub implements Link {
        LinkEvents events;
        private boolean closed;

        abstract void wrote(byte[] bytes);

        @Override
        public void write(byte[] bytes) {
            thread.post(() -> events.written());
            wrote(bytes);
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                thread.post(() -> events.closed());
            }
        }

        @Override
        public void finish(boolean inAnyCase) {
            close();
        }

        @Override
        public boolean unread() {
            return false;
        }

        @Override
        public boolean over() {
            return closed;
        }

        @Override
        public void reading(boolean on) {}
    }

    private final class Host extends Stub {
        Host(LinkEvents listener) {
            events = listener;
            thread.post(listener::opened);
        }

        @Override
        void wrote(byte[] bytes) {
            byte[] answer = bytes[0] != '*' ? FETCHED : asked % VARIETY == 0 ? MISS : HIT;
            thread.post(() -> events.received(answer));
        }
    }

    private final class Client extends Stub {
        Client() {
            events = north.client(this);
        }

        void ask() {
            asked++;
            int odd = asked % VARIETY;
            Decisions.RequestClass kind =
                    module.classes().get(odd < module.classes().size() ? odd : 0);
            boolean write = kind.effect() != Decisions.Effect.SAFE;
            byte[] name = RespWriter.ascii(write ? "OBJ.SET" : "OBJ.GET");
            byte[] key = RespWriter.ascii(Integer.toHexString(asked % 100));
            byte[] id = RespWriter.ascii("rehearsal-" + asked);
            byte[] facts = RespWriter.ascii("c=" + kind.name() + ",t=rehearsal,d=" + END_MILLIS + ",h=100,size=2.5");
            byte[] command = write
                    ? RespWriter.command(name, key, id, facts, "value".getBytes(StandardCharsets.US_ASCII))
                    : RespWriter.command(name, key, id, facts);
            thread.post(() -> events.received(command));
        }

        @Override
        void wrote(byte[] bytes) {
            played.countDown();
            if (played.getCount() > 0) {
                ask();
            }
        }
    }
}
