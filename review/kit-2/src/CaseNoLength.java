import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin gives its answers no length and ends each with the orderly end of its connection. */
final class CaseNoLength {

    private static final AtomicInteger WHOLE_READS = new AtomicInteger();
    private static final AtomicInteger WHOLE_WRITES = new AtomicInteger();

    public static void main(String[] args) {
        Kit.main(args[0], CaseNoLength::run);
    }

    static String run() throws Exception {
        Kit.Listing listing = new Kit.Listing();
        for (int i = 0; i < 4; i++) {
            // A cache that lacks every key, as each key is asked for once here.
            Kit.Router router = new Kit.Router("s-" + i, (r, conn, command, attempt) -> {
                Kit.sleep(2);
                conn.send(Kit.miss());
            });
            listing.add(new Kit.Entry(router.name, router.address(), i % 2 == 0 ? "vancouver" : "kamloops", "two-core"));
        }
        Kit.Origin origin = new Kit.Origin();
        origin.behaviour = CaseNoLength::answer;
        listing.add(new Kit.Entry("s-origin", origin.address(), "vancouver", "origin"));
        Kit.Discovery discovery = new Kit.Discovery("discovery", listing);
        Kit.Site site = new Kit.Site();
        site.takePorts();
        Kit.Balancer balancer = new Kit.Balancer(site, 0, discovery.address(), listing.whole());
        balancer.start();
        balancer.awaitReady();
        Kit.sleep(1_500);
        List<Kit.Request> requests = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            boolean writes = i % 2 == 1;
            clients.add(Kit.spawn("client", () -> {
                try (Kit.Client client = new Kit.Client(balancer)) {
                    for (int n = 0; n < 40; n++) {
                        requests.add(client.ask(
                                writes
                                        ? new Kit.Request("OBJ.SET", Kit.id(), "search-order", 1400, Kit.bytes("order"))
                                        : Kit.get(Kit.id(), 1400)));
                        Kit.sleep(250);
                    }
                } catch (java.io.IOException e) {
                    Kit.log("client: " + e);
                }
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        long reads = requests.stream().filter(r -> r.value == null && r.served() && r.right()).count();
        long writes = requests.stream().filter(r -> r.value != null && r.served() && r.right()).count();
        int whole = WHOLE_READS.get() + WHOLE_WRITES.get();
        String figures = "of " + whole + " whole answers of the origin " + (reads + writes) + " were forwarded (reads: " + reads
                + " of " + WHOLE_READS + ", writes: " + writes + " of " + WHOLE_WRITES + ")";
        Kit.log(requests.size() + " requests; " + figures);
        if (whole < 40) {
            throw new Kit.CannotRun("the origin answered hardly anything");
        }
        return 2 * (reads + writes) >= whole ? null : figures;
    }

    private static void answer(Kit.Origin origin, Kit.Conn conn, Kit.Attempt attempt) throws Exception {
        Kit.sleep(10);
        String value = Kit.valueFor(attempt.key(), attempt.id());
        if (Kit.TROUBLE) {
            conn.send(Kit.bytes("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + value));
            conn.socket.shutdownOutput(); // all of the answer, then the end: no reset
            Kit.sleep(50);
            conn.socket.close();
        } else {
            conn.send(Kit.response(200, value, ""));
        }
        (attempt.verb().equals("PUT") ? WHOLE_WRITES : WHOLE_READS).incrementAndGet();
    }
}
