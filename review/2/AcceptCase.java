import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that stop in the middle of a command: the requests of the usual clients still have to be answered in time. */
final class AcceptCase {

    private static final int BAD_CLIENTS = Integer.getInteger("bad", 400);
    private static final int PER_SECOND = 20;
    private static final int DEADLINE_MS = 1200;
    /** Half a second after its time a request without an answer is lost, on sockets 50 ms later. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500 + 50;

    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger shut = new AtomicInteger();
    private static final AtomicInteger notConnected = new AtomicInteger();
    private static final AtomicInteger badLate = new AtomicInteger();

    public static void main(String[] args) {
        Kit.runCase(args[0], AcceptCase::run);
    }

    private static boolean run() throws Exception {
        Kit.Server router = new Kit.Server("router", (socket, in, out) -> {
            while (true) {
                List<String> words = Kit.readCommand(in);
                Kit.sleep(20);
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
        for (int i = 0; i < 12; i++) {
            entries.add(new Kit.Entry("s-%08x".formatted(i), router.port, "two-core", "in_service", 0));
        }
        String list = Kit.list(41, true, entries);
        Kit.Discovery discovery = new Kit.Discovery(list);
        int port = Kit.freePort();
        String config = Kit.config(port, discovery.server.port, list, Kit.SETTINGS)
                .replace("\"sockets\":1024", "\"sockets\":256");
        try (Kit.Balancer balancer = new Kit.Balancer(port, config)) {
            balancer.awaitReady();
            Kit.sleep(1500);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 12 * PER_SECOND; i++) {
                int number = i;
                if (i == 2 * PER_SECOND && Kit.TROUBLE) {
                    Kit.log(BAD_CLIENTS + " bad clients connect, each with half a command");
                    for (int b = 0; b < BAD_CLIENTS; b++) {
                        Kit.daemon("bad", () -> bad(port));
                    }
                }
                clients.add(Kit.daemon("client", () -> client(port, number)));
                Kit.sleep(1000 / PER_SECOND);
            }
            for (Thread t : clients) {
                t.join();
            }
            if (!balancer.process.isAlive()) {
                Kit.log("the balancer has ended by itself");
                return true;
            }
        }
        Kit.log("usual clients: answered in time " + answered + " (served " + served + "), lost " + lost
                + ", connections shut with nothing sent on " + shut + ", not connected " + notConnected
                + "; bad clients without an error or a close within 3 s of connecting: " + badLate);
        if (served.get() == 0) {
            throw new IOException("nothing was served");
        }
        return lost.get() > 0;
    }

    /** Sends half a command once, stays, and reads whatever it is sent until the balancer ends the connection. */
    private static void bad(int port) throws IOException {
        long connecting = Kit.nowMs();
        try (Kit.Client c = new Kit.Client(port)) {
            long connected = Kit.nowMs();
            c.write("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a9c21".getBytes());
            c.socket.setSoTimeout(20_000);
            int first = c.in.read();
            if (Kit.nowMs() - connected > 3000) {
                badLate.incrementAndGet();
            }
            while (first >= 0) {
                first = c.in.read();
            }
        } catch (IOException e) {
            Kit.log("bad client: " + e + " " + (Kit.nowMs() - connecting) + " ms after it began to connect");
        }
    }

    /** A usual client: one request on a connection of its own, sent once more if the connection is shut unread. */
    private static void client(int port, int number) {
        String id = "%016x".formatted(0x5d00000000000000L + number);
        String key = "%016x".formatted(0x9e3779b97f4a7c15L * (number % 50));
        for (int attempt = 0; attempt < 2; attempt++) {
            long sent = -1;
            try (Kit.Client client = new Kit.Client(port)) {
                client.write(Kit.command(
                        "OBJ.GET", key, id, "c=map-read,t=fraser-surveyors,d=" + DEADLINE_MS + ",h=120000"));
                sent = Kit.nowMs();
                client.socket.setSoTimeout(10_000);
                String answer = client.readAnswer();
                long took = Kit.nowMs() - sent;
                boolean isLost = took > LOST_AFTER_MS;
                (isLost ? lost : answered).incrementAndGet();
                served.addAndGet(answer.startsWith("$") ? 1 : 0);
                Kit.log("request " + id + " sent at " + sent + " ms, answer after " + took + " ms: " + answer
                        + (isLost ? "  LOST" : ""));
                return;
            } catch (SocketTimeoutException e) {
                if (sent < 0) {
                    notConnected.incrementAndGet();
                } else {
                    lost.incrementAndGet();
                }
                Kit.log("request " + id + (sent < 0 ? " not sent: no connection" : ": no answer within 10 s  LOST"));
                return;
            } catch (IOException e) {
                (sent < 0 ? notConnected : shut).incrementAndGet();
                Kit.log("request " + id + " connection shut with no answer: " + e);
                if (sent < 0) {
                    return;
                }
            }
        }
    }
}
