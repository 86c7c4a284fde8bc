import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A new configuration moves discovery to an address that is crowded; a router begins to drain. */
final class CaseMoved {

    private static final long TOLD = 4_000_000;
    private static final long GRACE = 550_000; // drain_grace of the settings and the 50 ms of the protocol page
    private static final long CROWDED_MICROS = 10_000_000;
    private static final long QUEUE_MILLIS = 2_000;

    public static void main(String[] args) {
        Kit.main(args[0], CaseMoved::run);
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
        Kit.Discovery before = new Kit.Discovery("discovery-1", listing);
        Kit.Discovery after = new Kit.Discovery("discovery-2", listing);
        long[] crowdedUntil = {Long.MAX_VALUE};
        if (Kit.TROUBLE) {
            after.filter = (d, conn, target, caller) -> {
                if (Kit.now() > crowdedUntil[0]) {
                    return true;
                }
                Kit.sleep(QUEUE_MILLIS);
                conn.send(Kit.response(503, "", "Connection: close\r\n"));
                Kit.log("discovery-2 answered 503 to a balancer's call " + target);
                return false;
            };
        }
        Kit.Site site = new Kit.Site();
        site.balancers = 2;
        site.takePorts();
        List<Kit.Balancer> balancers = new ArrayList<>();
        for (int i = 0; i < site.balancers; i++) {
            balancers.add(new Kit.Balancer(site, i, before.address(), known));
            balancers.get(i).start();
        }
        for (Kit.Balancer balancer : balancers) {
            balancer.awaitReady();
        }
        List<Kit.Request> requests = new CopyOnWriteArrayList<>();
        Traffic.start(balancers, requests, 25);
        Kit.sleep(5_000);
        for (Kit.Balancer balancer : balancers) {
            balancer.reconfigure(after.address(), known);
        }
        long hup = Kit.now();
        crowdedUntil[0] = hup + CROWDED_MICROS;
        before.retire(1_500);
        Kit.sleepUntil(hup + 1_700_000);
        listing.change("s-1", "terminating");
        Kit.sleepUntil(hup + CROWDED_MICROS + 4_000_000);
        Traffic.stop();
        int late = 0;
        long last = 0;
        for (Kit.Attempt attempt : List.copyOf(routers.get(1).attempts)) {
            if (attempt.firstByte() > hup + TOLD + GRACE) {
                late++;
                last = Math.max(last, attempt.firstByte() - hup);
            }
        }
        Kit.log(requests.size() + " requests, " + Traffic.served(requests) + " served, " + routers.get(1).attempts.size()
                + " attempts at s-1, " + late + " of them later than 4.55 s after SIGHUP");
        if (Traffic.served(requests) < requests.size() / 10) {
            throw new Kit.CannotRun("hardly anything was served");
        }
        return late == 0 ? null : "drain: " + late + " attempts at s-1, the last " + last / 1000 + " ms after SIGHUP";
    }
}
