import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send many commands at once, reads and writes of long values, and read all answers; the balancer has 96 MB. */
final class CaseManyAtOnce {

    private static final int ROUTERS = 30;
    private static final int READERS = 200;
    private static final int READS = 40;
    private static final int WRITERS = 200;
    private static final int WRITES = 10;
    private static final int VALUE_BYTES = 65_500;

    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static volatile long until;

    public static void main(String[] args) {
        Kit.main(args[0], CaseManyAtOnce::run);
    }

    static String run() throws Exception {
        Kit.Listing listing = new Kit.Listing();
        byte[] answer = Kit.hit(new byte[VALUE_BYTES]);
        for (int i = 0; i < ROUTERS; i++) {
            Kit.Router router = new Kit.Router("s-" + i, (r, conn, command, attempt) -> {
                Kit.sleep(250);
                conn.send(answer);
            });
            listing.add(new Kit.Entry(router.name, router.address(), i % 2 == 0 ? "vancouver" : "kamloops", "two-core"));
        }
        Kit.Origin origin = new Kit.Origin();
        origin.workMillis = 800;
        listing.add(new Kit.Entry("s-origin", origin.address(), "vancouver", "origin"));
        Kit.Discovery discovery = new Kit.Discovery("discovery", listing);
        Kit.Site site = new Kit.Site();
        site.quota = 1000;
        site.memoryMb = 96;
        site.takePorts();
        Kit.Balancer balancer = new Kit.Balancer(site, 0, discovery.address(), listing.whole());
        balancer.start();
        balancer.awaitReady();
        until = Kit.now() + 14_000_000;
        List<Kit.Request> usual = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            clients.add(Kit.spawn("usual client", () -> usualClient(balancer, usual)));
        }
        Kit.sleep(2_000);
        if (Kit.TROUBLE) {
            Kit.log("the bad clients begin");
            for (int i = 0; i < READERS + WRITERS; i++) {
                boolean writes = i < WRITERS;
                Kit.spawn("bad client", () -> badClient(balancer, writes));
            }
        }
        for (Thread client : clients) {
            client.join(30_000);
        }
        long ended = usual.stream().filter(r -> r.answer.equals("EOF") || r.answer.equals("RESET")).count();
        Kit.log(usual.size() + " requests of usual clients, " + Traffic.served(usual) + " served, " + ended
                + " ended without an answer; " + ANSWERS + " answers to bad clients");
        return balancer.process.isAlive() ? null : "crash: the balancer ended with status " + balancer.process.waitFor();
    }

    private static void usualClient(Kit.Balancer balancer, List<Kit.Request> requests) {
        while (Kit.now() < until && balancer.process.isAlive()) {
            try (Kit.Client client = new Kit.Client(balancer)) {
                Kit.Request request = null;
                while (Kit.now() < until && (request == null || request.answer.startsWith("$") || request.answer.startsWith("-"))) {
                    request = client.ask(Kit.get(Kit.id(), 1000));
                    request.content = null;
                    requests.add(request);
                    Kit.sleep(100);
                }
            } catch (IOException e) {
                Kit.log("a usual client's connection ended: " + e);
                Kit.sleep(100);
            }
        }
    }

    /** Sends its commands at once, reads all answers, and does the same again. */
    private static void badClient(Kit.Balancer balancer, boolean writes) {
        byte[] value = writes ? new byte[VALUE_BYTES] : null;
        int commands = writes ? WRITES : READS;
        while (Kit.now() < until && balancer.process.isAlive()) {
            try (Kit.Client client = new Kit.Client(balancer)) {
                while (Kit.now() < until) {
                    Kit.spawn("sender", () -> send(client, commands, value));
                    for (int i = 0; i < commands; i++) {
                        Kit.Request request = Kit.get("", 0);
                        client.read(request, 8_000);
                        if (!request.served() && !request.answer.startsWith("-")) {
                            throw new IOException(request.answer);
                        }
                        ANSWERS.incrementAndGet();
                    }
                    Kit.sleep(100);
                }
            } catch (IOException e) {
                Kit.sleep(50);
            }
        }
    }

    private static void send(Kit.Client client, int commands, byte[] value) {
        try {
            OutputStream out = new BufferedOutputStream(client.socket.getOutputStream(), 64 * 1024);
            for (int i = 0; i < commands; i++) {
                Kit.Request request = value != null
                        ? new Kit.Request("OBJ.SET", Kit.id(), "parcel-watch", 4_500, value)
                        : Kit.get(Kit.id(), 1_400);
                out.write(request.encode());
            }
            out.flush();
        } catch (IOException e) {
            Kit.log("a bad client cannot send: " + e);
        }
    }
}
