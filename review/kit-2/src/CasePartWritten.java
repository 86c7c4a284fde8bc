import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Clients send many commands at once: reads of long values, and writes while they read the answers; the origin is slow. */
final class CasePartWritten {

    private static final int CLIENTS = 8;
    /** How many reads a client sends at once, in turn: the sizes of the system's buffers differ. */
    private static final int[] READS = {40, 50, 60, 70, 80, 100};
    private static final int WRITES = 30;
    private static final int VALUE_BYTES = 60_000;
    private static final int WRITE_BYTES = 6_000;
    private static final long LOST_MILLIS = 550;
    private static final List<Kit.Request> DONE = new CopyOnWriteArrayList<>();
    private static final List<String> LOST = new CopyOnWriteArrayList<>();
    private static volatile long until;

    public static void main(String[] args) {
        Kit.main(args[0], CasePartWritten::run);
    }

    static String run() throws Exception {
        Kit.Listing listing = new Kit.Listing();
        byte[] answer = Kit.hit(new byte[VALUE_BYTES]);
        for (int i = 0; i < 8; i++) {
            Kit.Router router = new Kit.Router("s-" + i, (r, conn, command, attempt) -> {
                Kit.sleep(10);
                conn.send(answer);
            });
            listing.add(new Kit.Entry(router.name, router.address(), i % 2 == 0 ? "vancouver" : "kamloops", "two-core"));
        }
        Kit.Origin origin = new Kit.Origin();
        origin.workMillis = Kit.TROUBLE ? 3_000 : 150;
        listing.add(new Kit.Entry("s-origin", origin.address(), "vancouver", "origin"));
        Kit.Discovery discovery = new Kit.Discovery("discovery", listing);
        Kit.Site site = new Kit.Site();
        site.quota = 2000;
        site.memoryMb = 192;
        site.takePorts();
        Kit.Balancer balancer = new Kit.Balancer(site, 0, discovery.address(), listing.whole());
        balancer.start();
        balancer.awaitReady();
        Kit.sleep(1_500);
        until = Kit.now() + 12_000_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Kit.spawn("client", () -> client(balancer)));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        LOST.forEach(Kit::log);
        Kit.log(DONE.size() + " reads, " + Traffic.served(DONE) + " served, " + LOST.size() + " lost");
        return LOST.isEmpty()
                ? null
                : LOST.size() + " of " + DONE.size() + " reads answered more than half a second after their time";
    }

    /** Judges a read by the time of its answer's last byte; the wait for the answers before it on its connection does not count. */
    private static void judge(Kit.Request read, long previousAnswered) {
        long dueMicros = Math.max(read.sent + read.d * 1000, previousAnswered);
        boolean ended = read.answer.equals("EOF") || read.answer.equals("RESET");
        if (!ended && read.answered > dueMicros + LOST_MILLIS * 1000) {
            LOST.add("LOST " + read + ": its first line came after " + (read.began - read.sent) / 1000
                    + " ms, the answer before it was whole after " + (previousAnswered - read.sent) / 1000 + " ms");
        }
    }

    private static void client(Kit.Balancer balancer) {
        int turn = ThreadLocalRandom.current().nextInt(READS.length);
        while (Kit.now() < until) {
            int count = READS[turn++ % READS.length];
            try (Kit.Client client = new Kit.Client(balancer)) {
                List<Kit.Request> reads = new ArrayList<>();
                ByteArrayOutputStream commands = new ByteArrayOutputStream();
                for (int i = 0; i < (Kit.TROUBLE ? count : 1); i++) {
                    Kit.Request request = Kit.get(Kit.id(), 1_400);
                    reads.add(request);
                    commands.writeBytes(request.encode());
                }
                List<Kit.Request> writes = new ArrayList<>();
                long sent = Kit.now();
                client.socket.getOutputStream().write(commands.toByteArray());
                long previousAnswered = sent;
                for (Kit.Request read : reads) {
                    read.sent = sent;
                    client.read(read, 9_000);
                    read.answered = Kit.now();
                    read.content = null;
                    DONE.add(read);
                    Kit.log("client has " + read);
                    judge(read, previousAnswered);
                    previousAnswered = read.answered;
                    if (!read.served() && !read.answer.startsWith("-")) {
                        throw new IOException(read.answer);
                    }
                    if (Kit.TROUBLE && writes.size() < WRITES) {
                        Kit.Request write = new Kit.Request("OBJ.SET", Kit.id(), "parcel-watch", 4_500, new byte[WRITE_BYTES]);
                        writes.add(write);
                        client.socket.getOutputStream().write(write.encode());
                    }
                }
                if (!Kit.TROUBLE) {
                    writes.add(new Kit.Request("OBJ.SET", Kit.id(), "parcel-watch", 4_500, new byte[WRITE_BYTES]));
                    client.socket.getOutputStream().write(writes.get(0).encode());
                }
                for (Kit.Request write : writes) {
                    client.read(write, 9_000);
                }
            } catch (IOException e) {
                Kit.log("a client's connection ended: " + e);
                Kit.sleep(50);
            }
        }
    }
}
