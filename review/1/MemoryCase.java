import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients that send many commands at once: the balancer has to go on, and the usual clients' requests are answered. */
final class MemoryCase {

    private static final int BAD_CLIENTS = Integer.getInteger("bad", 400);
    private static final int COMMANDS = Integer.getInteger("commands", 100);
    private static final int MEMORY_MB = Integer.getInteger("memory", 128);
    private static final int SOCKETS = Integer.getInteger("sockets", 1024);
    private static final int PER_SECOND = 20;
    private static final int SECONDS = 14;
    private static final int DEADLINE_MS = 1200;
    /** Half a second after its time a request without an answer is lost, on sockets 50 ms later. */
    private static final int LOST_AFTER_MS = DEADLINE_MS + 500 + 50;

    private static final AtomicInteger lost = new AtomicInteger();
    private static final AtomicInteger answered = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger shut = new AtomicInteger();
    private static final AtomicInteger notConnected = new AtomicInteger();
    private static final AtomicInteger badConnected = new AtomicInteger();
    private static final AtomicInteger badAnswers = new AtomicInteger();

    public static void main(String[] args) {
        Kit.runCase(args[0], MemoryCase::run);
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
                .replace("\"memory_mb\":128,\"sockets\":1024", "\"memory_mb\":" + MEMORY_MB + ",\"sockets\":" + SOCKETS);
        boolean hangs;
        try (Kit.Balancer balancer = new Kit.Balancer(port, config)) {
            balancer.awaitReady();
            Kit.sleep(1500);
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < SECONDS * PER_SECOND; i++) {
                int number = i;
                if (i == 2 * PER_SECOND && Kit.TROUBLE) {
                    Kit.log(BAD_CLIENTS + " bad clients connect, each sends " + COMMANDS + " commands at once");
                    for (int b = 0; b < BAD_CLIENTS; b++) {
                        int bad = b;
                        Kit.daemon("bad", () -> bad(port, bad));
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
            hangs = !answersPing(port);
            Kit.log("at the end the balancer's process runs and " + (hangs ? "does NOT answer" : "answers") + " a PING within 6 s");
        }
        Kit.log("usual clients: answered in time " + answered + " (served " + served + "), lost " + lost
                + ", connections shut with nothing sent on " + shut + ", not connected " + notConnected
                + "; bad clients connected " + badConnected + ", answers they read " + badAnswers);
        if (served.get() == 0) {
            throw new IOException("nothing was served");
        }
        return lost.get() > 0 || hangs;
    }

    private static boolean answersPing(int port) {
        try (Kit.Client client = new Kit.Client(port)) {
            client.socket.setSoTimeout(6_000);
            client.write(Kit.command("PING"));
            return "+PONG".equals(client.readLine());
        } catch (IOException e) {
            return false;
        }
    }

    /** Sends many commands at once, reads whatever it is sent meanwhile, and goes. */
    private static void bad(int port, int number) throws IOException {
        String value = "v".repeat(65_536);
        try (Kit.Client c = new Kit.Client(port)) {
            badConnected.incrementAndGet();
            Kit.daemon("bad-reader", () -> {
                while (true) {
                    c.readAnswer();
                    badAnswers.incrementAndGet();
                }
            });
            for (int i = 0; i < COMMANDS; i++) {
                String id = "%016x".formatted(0x5e00000000000000L + number * 1000L + i);
                c.write(Kit.command(
                        "OBJ.SET",
                        "%016x".formatted(0x9e3779b97f4a7c15L * (number * 1000L + i)),
                        id,
                        "c=parcel-watch,t=fraser-surveyors,d=4500,h=180000,k=" + id,
                        value));
            }
            Kit.sleep(2000);
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
                client.socket.setSoTimeout(6_000);
                String answer = client.readAnswer();
                long took = Kit.nowMs() - sent;
                boolean isLost = took > LOST_AFTER_MS;
                (isLost ? lost : answered).incrementAndGet();
                served.addAndGet(answer.startsWith("$") ? 1 : 0);
                Kit.log("request " + id + " sent at " + sent + " ms, answer after " + took + " ms: " + answer
                        + (isLost ? "  LOST" : ""));
                return;
            } catch (SocketTimeoutException e) {
                (sent < 0 ? notConnected : lost).incrementAndGet();
                Kit.log("request " + id + (sent < 0 ? " not sent: no connection" : ": no answer within 6 s  LOST"));
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
