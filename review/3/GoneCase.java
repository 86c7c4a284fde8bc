import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that close their connection: no attempt may begin for them more than 0.1 s after the close. */
final class GoneCase {

    private static final int CLIENTS = 12;
    /** From the close; 0.1 s by the rule, on sockets 50 ms longer. */
    private static final int GRACE_MS = 150;
    private static final int SERVER_MS = 300;

    /** When a request's client closed its connection, by the request's id. */
    private static final Map<String, Long> closedAt = new ConcurrentHashMap<>();
    private static final AtomicInteger late = new AtomicInteger();
    private static final AtomicInteger servedToOthers = new AtomicInteger();

    public static void main(String[] args) {
        Kit.runCase(args[0], GoneCase::run);
    }

    /** Records an attempt whose first byte came at the given time. */
    private static void attempt(String at, String what, String id, long firstByte) {
        Long closed = closedAt.get(id);
        boolean broken = closed != null && firstByte > closed + GRACE_MS;
        if (broken) {
            late.incrementAndGet();
        }
        Kit.log(at + " got " + what + " " + id + " at " + firstByte + " ms"
                + (closed == null ? "" : ", " + (firstByte - closed) + " ms after its client closed")
                + (broken ? "  BROKEN" : ""));
    }

    private static boolean run() throws Exception {
        Kit.Server router = new Kit.Server("router", (socket, in, out) -> {
            while (true) {
                List<String> words = Kit.readCommand(in);
                attempt("router", words.get(0), words.get(2), Kit.nowMs());
                Kit.sleep(SERVER_MS);
                out.write(Kit.MISS);
            }
        });
        Map<String, Boolean> seen = new ConcurrentHashMap<>();
        Kit.Server origin = new Kit.Server("origin", (socket, in, out) -> {
            while (true) {
                Kit.HttpRequest request = Kit.readHttp(in);
                String id = request.headers().get("X-Correlation-Id");
                attempt("origin", request.method(), id, Kit.nowMs());
                if (request.method().equals("PUT") && seen.put(id, true) == null) {
                    Kit.sleep(SERVER_MS);
                    out.write(Kit.http(503, "X-Unprocessed: 1\r\n", "")); // never ran
                    Kit.log("origin refused " + id + " unprocessed");
                } else {
                    out.write(Kit.http(200, "", "receipt-or-value-for-" + id));
                    Kit.log("origin carried out " + request.method() + " " + id);
                }
            }
        });
        List<Kit.Entry> entries = new ArrayList<>();
        entries.add(new Kit.Entry("origin-1", origin.port, "origin", "in_service", 0));
        for (int i = 0; i < 12; i++) {
            entries.add(new Kit.Entry("s-%08x".formatted(i), router.port, "two-core", "in_service", 0));
        }
        String list = Kit.list(41, true, entries);
        Kit.Discovery discovery = new Kit.Discovery(list);
        int port = Kit.freePort();
        try (Kit.Balancer balancer =
                new Kit.Balancer(port, Kit.config(port, discovery.server.port, list, Kit.SETTINGS))) {
            balancer.awaitReady();
            Kit.sleep(1500);
            for (int i = 0; i < CLIENTS; i++) {
                leave(port, i, i % 3 == 2);
                Kit.sleep(400);
            }
            Kit.sleep(2500);
            stay(port);
        }
        Kit.log("attempts for clients that had gone: " + late + ", requests of a client that stays served: "
                + servedToOthers);
        if (servedToOthers.get() == 0) {
            throw new IOException("not even a client that stays is served");
        }
        return late.get() > 0;
    }

    /** Sends a request, and with the disruption unreadable input behind it, and closes. */
    private static void leave(int port, int number, boolean write) throws IOException {
        String id = "%016x".formatted(0x7a00000000000000L + number);
        String key = "%016x".formatted(0x9e3779b97f4a7c15L * (number + 1));
        byte[] request = write
                ? Kit.command("OBJ.SET", key, id, "c=search-order,t=fraser-surveyors,d=1400,h=120000", "order")
                : Kit.command("OBJ.GET", key, id, "c=map-read,t=fraser-surveyors,d=1400,h=120000");
        try (Kit.Client client = new Kit.Client(port)) {
            client.write(request);
            if (Kit.TROUBLE) {
                client.write("what is this\r\n".getBytes());
            }
            Kit.sleep(50);
        }
        closedAt.put(id, Kit.nowMs());
        Kit.log("client sent " + (write ? "OBJ.SET search-order " : "OBJ.GET map-read ") + id
                + (Kit.TROUBLE ? " and an unreadable line" : "") + " and closed");
    }

    /** A client that waits for its answer, to show that the deployment works. */
    private static void stay(int port) throws IOException {
        try (Kit.Client client = new Kit.Client(port)) {
            client.socket.setSoTimeout(3000);
            client.write(Kit.command(
                    "OBJ.GET", "00000000000000ff", "7b00000000000000", "c=map-read,t=fraser-surveyors,d=1400,h=120000"));
            String answer = client.readAnswer();
            Kit.log("client that stays got " + answer);
            servedToOthers.addAndGet(answer.startsWith("$") ? 1 : 0);
        }
    }
}
