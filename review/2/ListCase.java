import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/** A whole list that comes indented: every request taken has to get its answer in time all the same. */
final class ListCase {

    private static final int ROUTERS = Integer.getInteger("routers", 3200);
    private static final int PER_SECOND = 20;
    private static final int DEADLINE_MS = 1200;
    /** Half a second after its time a request without an answer is lost, on sockets 50 ms later. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500 + 50;

    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();

    public static void main(String[] args) {
        Kit.runCase(args[0], ListCase::run);
    }

    private static boolean run() throws Exception {
        int[] routers = Kit.listenAtMany("router", ROUTERS, (socket, in, out) -> {
            while (true) {
                List<String> words = Kit.readCommand(in);
                out.write(Kit.hit("value-for-" + words.get(2)));
            }
        });
        Kit.Server origin = new Kit.Server("origin", (socket, in, out) -> {
            while (true) {
                out.write(Kit.http(200, "", "value-for-" + Kit.readHttp(in).headers().get("X-Correlation-Id")));
            }
        });
        List<Kit.Entry> entries = new ArrayList<>();
        entries.add(new Kit.Entry("origin-1", origin.port, "origin", "in_service", 0));
        for (int i = 0; i < ROUTERS; i++) {
            entries.add(new Kit.Entry("s-%08x".formatted(i), routers[i % routers.length], "two-core", "in_service", 0));
        }
        String compact = Kit.list(5000, true, entries);
        Kit.Discovery discovery = new Kit.Discovery(Kit.TROUBLE ? indented(entries) : compact);
        discovery.watchDelayMs = 1500; // with and without the disruption: clients are served before the list comes
        int port = Kit.freePort();
        try (Kit.Balancer balancer = new Kit.Balancer(
                port, Kit.config(port, discovery.server.port, Kit.list(41, true, entries), Kit.SETTINGS))) {
            balancer.awaitReady();
            long end = Kit.nowMs() + 15_000;
            List<Thread> requests = new ArrayList<>();
            for (int i = 0; Kit.nowMs() < end; i++) {
                int number = i;
                requests.add(Kit.daemon("client", () -> request(port, number)));
                Kit.sleep(1000 / PER_SECOND);
            }
            for (Thread t : requests) {
                t.join();
            }
            if (!balancer.process.isAlive()) {
                Kit.log("the balancer has ended by itself");
                return true;
            }
        }
        Kit.log("answered in time: " + answered + " (served " + served + "), lost: " + lost);
        if (answered.get() + lost.get() < 100) {
            throw new IOException("too few requests");
        }
        return lost.get() > 0;
    }

    private static String indented(List<Kit.Entry> entries) {
        String endpoints = entries.stream()
                .map(e -> e.json()
                        .replace("{\"", "    {\n      \"")
                        .replace(",\"", ",\n      \"")
                        .replace("\":", "\": ")
                        .replace("}", "\n    }"))
                .collect(Collectors.joining(",\n"));
        return "{\n  \"index\": 5000,\n  \"snapshot\": true,\n  \"endpoints\": [\n" + endpoints + "\n  ]\n}";
    }

    private static void request(int port, int number) throws IOException {
        String id = "%016x".formatted(0x5c00000000000000L + number);
        String key = "%016x".formatted(0x9e3779b97f4a7c15L * (number % 50));
        try (Kit.Client client = new Kit.Client(port)) {
            long sent = Kit.nowMs();
            client.write(Kit.command("OBJ.GET", key, id, "c=map-read,t=fraser-surveyors,d=" + DEADLINE_MS + ",h=120000"));
            client.socket.setSoTimeout(15_000);
            String answer;
            try {
                answer = client.readAnswer();
            } catch (SocketTimeoutException e) {
                answer = "(none within 15 s)";
            } catch (IOException e) {
                answer = "(connection ended: " + e + ")";
            }
            long took = Kit.nowMs() - sent;
            boolean isLost = took > LOST_AFTER_MS || answer.startsWith("(");
            (isLost ? lost : answered).incrementAndGet();
            if (answer.startsWith("$")) {
                served.incrementAndGet();
            }
            Kit.log("request " + id + " sent at " + sent + " ms, answer after " + took + " ms: " + answer
                    + (isLost ? "  LOST" : ""));
        }
    }
}
