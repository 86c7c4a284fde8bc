import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Bad clients send half a command and stay; usual clients ask on new connections. */
final class CaseHalfCommands {

    private static final int BAD_CLIENTS = 150;
    private static final int USUAL_CLIENTS = 20;
    /** Half a second after the time of a request, and the 50 ms of the rules on sockets. */
    private static final long LOST_MILLIS = 550;
    /** The slack of the time that an attempt tells its router, and the 50 ms of the rules on sockets. */
    private static final long TOLD_SLACK_MILLIS = 200;

    private static final Map<String, Kit.Request> SENT = new ConcurrentHashMap<>();
    private static final List<Kit.Request> DONE = new CopyOnWriteArrayList<>();
    private static final List<String> TOLD_TOO_MUCH = new CopyOnWriteArrayList<>();
    private static volatile long until;

    public static void main(String[] args) {
        Kit.main(args[0], CaseHalfCommands::run);
    }

    static String run() throws Exception {
        Kit.Listing listing = new Kit.Listing();
        for (int i = 0; i < 4; i++) {
            Kit.Router router = new Kit.Router("s-" + i, CaseHalfCommands::answer);
            listing.add(new Kit.Entry(router.name, router.address(), i % 2 == 0 ? "vancouver" : "kamloops", "two-core"));
        }
        Kit.Origin origin = new Kit.Origin();
        listing.add(new Kit.Entry("s-origin", origin.address(), "vancouver", "origin"));
        Kit.Discovery discovery = new Kit.Discovery("discovery", listing);
        Kit.Site site = new Kit.Site();
        site.sockets = 256;
        site.takePorts();
        Kit.Balancer balancer = new Kit.Balancer(site, 0, discovery.address(), listing.whole());
        balancer.start();
        balancer.awaitReady();
        until = Kit.now() + 20_000_000;
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            usual.add(Kit.spawn("usual client", () -> usualClient(balancer)));
        }
        Kit.sleep(2_000);
        if (Kit.TROUBLE) {
            Kit.log(BAD_CLIENTS + " bad clients begin");
            for (int i = 0; i < BAD_CLIENTS; i++) {
                Kit.spawn("bad client", () -> badClient(balancer));
            }
        }
        for (Thread thread : usual) {
            thread.join(30_000);
        }
        long lost = DONE.stream().filter(CaseHalfCommands::isLost).count();
        long served = DONE.stream().filter(Kit.Request::served).count();
        Kit.log(DONE.size() + " requests of usual clients, " + served + " served, " + lost
                + " answered more than half a second after their time or never, " + TOLD_TOO_MUCH.size()
                + " attempts that told their router more time than was left to the client");
        DONE.stream().filter(CaseHalfCommands::isLost).forEach(request -> Kit.log("LOST " + request));
        TOLD_TOO_MUCH.forEach(Kit::log);
        return lost == 0 && TOLD_TOO_MUCH.isEmpty()
                ? null
                : lost + " of " + DONE.size() + " requests lost, " + TOLD_TOO_MUCH.size() + " attempts told too much time";
    }

    /** Lost: no answer until half a second after its time. A connection that was ended unread is no loss here. */
    private static boolean isLost(Kit.Request request) {
        boolean ended = request.answer.equals("EOF") || request.answer.equals("RESET");
        return !ended && request.answered - request.sent > (request.d + LOST_MILLIS) * 1000;
    }

    private static void answer(Kit.Router router, Kit.Conn conn, Kit.Command command, Kit.Attempt attempt) throws Exception {
        Kit.Request request = SENT.get(attempt.id());
        if (request != null) {
            long left = request.d - (attempt.firstByte() - request.sent) / 1000;
            if (attempt.d() > left + TOLD_SLACK_MILLIS) {
                TOLD_TOO_MUCH.add("TOLD TOO MUCH d=" + attempt.d() + ", left to the client " + left + " ms, id=" + attempt.id());
            }
        }
        Kit.sleep(5);
        conn.send(Kit.hit(Kit.bytes(Kit.valueFor(attempt.key(), attempt.id()))));
    }

    /** Asks once on each new connection, as clients whose connections are always new. */
    private static void usualClient(Kit.Balancer balancer) {
        while (Kit.now() < until) {
            Kit.Request request = Kit.get(Kit.id(), ThreadLocalRandom.current().nextLong(600, 1_100));
            try (Kit.Client client = new Kit.Client(balancer)) {
                SENT.put(request.id, request);
                client.ask(request, request.d + 3_000);
                DONE.add(request);
            } catch (IOException e) {
                Kit.log("a usual client cannot connect: " + e);
            }
            Kit.sleep(200);
        }
    }

    /** Stops in the middle of a command and stays, reads what it is sent, and does the same again when it is turned away. */
    private static void badClient(Kit.Balancer balancer) {
        while (Kit.now() < until) {
            try (Socket socket = balancer.connect()) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream().write(Kit.bytes("*4\r\n$7\r\nOBJ.GET\r\n$16\r\n7f3a"));
                while (socket.getInputStream().read() >= 0) {
                    // an error, as it is owed
                }
            } catch (SocketTimeoutException e) {
                Kit.log("a bad client got neither an error nor a close in 10 s");
            } catch (IOException e) {
                Kit.sleep(20);
            }
        }
    }
}
