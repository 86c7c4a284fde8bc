import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Balancers start while discovery is crowded; a router begins to drain. */
final class CaseCrowded {

    private static final long TOLD = 6_000_000;
    private static final long GRACE = 550_000; // drain_grace of the settings and the 50 ms of the protocol page
    private static final long CROWDED_MILLIS = 18_000;
    private static final long QUEUE_MILLIS = 2_000;

    public static void main(String[] args) {
        Kit.main(args[0], CaseCrowded::run);
    }

    static String run() throws Exception {
        Kit.Listing listing = new Kit.Listing();
        List<Kit.Router> routers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Kit.Router router = new Kit.Router("s-" + i);
            routers.add(router);
            listing.add(new Kit.Entry(router.name, router.address(), i % 2 == 0 ? "vancouver" : "kamloops", "two-core"));
        }
        Kit.Origin origin = new Kit.Origin();
        listing.add(new Kit.Entry("s-origin", origin.address(), "vancouver", "origin"));
        String known = listing.whole();
        Kit.Discovery discovery = new Kit.Discovery("discovery", listing);
        long[] crowdedUntil = {Long.MAX_VALUE};
        if (Kit.TROUBLE) {
            // Many others call too. A call of a balancer waits in turn for too long and fails with 503, as the page says.
            discovery.filter = (d, conn, target, caller) -> {
                if (caller.equals("neighbour") || Kit.now() > crowdedUntil[0]) {
                    return true;
                }
                Kit.sleep(QUEUE_MILLIS);
                conn.send(Kit.response(503, "", "Connection: close\r\n"));
                Kit.log("discovery answered 503 to a balancer's call " + target);
                return false;
            };
        }
        Kit.spawn("neighbour", () -> neighbour(discovery));
        Kit.Site site = new Kit.Site();
        site.balancers = 2;
        site.takePorts();
        List<Kit.Balancer> balancers = new ArrayList<>();
        for (int i = 0; i < site.balancers; i++) {
            balancers.add(new Kit.Balancer(site, i, discovery.address(), known));
            balancers.get(i).start();
        }
        for (Kit.Balancer balancer : balancers) {
            balancer.awaitReady();
        }
        List<Kit.Request> requests = new CopyOnWriteArrayList<>();
        Traffic.start(balancers, requests, 25);
        Kit.sleep(2_000);
        long drained = listing.change("s-1", "terminating");
        Kit.sleepUntil(drained + (CROWDED_MILLIS - 2_000) * 1000);
        crowdedUntil[0] = 0;
        Kit.sleep(6_000);
        Traffic.stop();
        int late = 0;
        long last = 0;
        for (Kit.Attempt attempt : List.copyOf(routers.get(1).attempts)) {
            if (attempt.firstByte() > drained + TOLD + GRACE) {
                late++;
                last = Math.max(last, attempt.firstByte() - drained);
            }
        }
        Kit.log(requests.size() + " requests, " + Traffic.served(requests) + " served, " + routers.get(1).attempts.size()
                + " attempts at s-1, " + late + " of them later than 6.55 s after its drain");
        if (Traffic.served(requests) < requests.size() / 10) {
            throw new Kit.CannotRun("hardly anything was served");
        }
        return late == 0 ? null : "drain: " + late + " attempts at s-1, the last " + last / 1000 + " ms after its drain";
    }

    /** Another caller of the same discovery, whose calls are answered: it is up and has the change. */
    private static void neighbour(Kit.Discovery discovery) {
        while (true) {
            try (java.net.Socket socket = new java.net.Socket(Kit.loopback(), discovery.listener.getLocalPort())) {
                socket.getOutputStream().write(Kit.bytes("GET /v1/servers HTTP/1.1\r\nHost: d\r\nX-Caller: neighbour\r\n\r\n"));
                socket.getInputStream().readAllBytes();
            } catch (java.io.IOException e) {
                Kit.log("neighbour: " + e);
            }
            Kit.sleep(1_000);
        }
    }
}
