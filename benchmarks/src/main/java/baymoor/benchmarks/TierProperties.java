package baymoor.benchmarks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.Send;

/**
 * What the size of the tier alone decides, printed as JSON: bytes of heap that one instance of the decision module holds
 * once it has heard all others, and how unevenly keys fall among the routers.
 */
public final class TierProperties {

    private static final String[] SIZES = {
        "4x13x13",
        "14x60x15",
        "100x60x15",
        "100x200x15",
        "160x180x15",
        "320x180x15",
        "320x180x67",
        "640x60x15",
        "640x180x0",
        "640x180x15",
        "640x180x67"
    };
    private static final int REQUESTS = 2_000_000;
    /** Requests between two ticks, as at 781 a second and 15 ticks. */
    private static final int REQUESTS_PER_TICK = 52;

    private TierProperties() {}

    /** Prints the properties of all sizes. */
    public static void main(String[] arguments) {
        List<String> lines = new ArrayList<>();
        for (String size : SIZES) {
            TierSize tier = TierSize.parse(size);
            lines.add(String.format(
                    Locale.ROOT,
                    "  \"%s\": {\"retainedBytes\": %d, \"busiestRouterOverMean\": %.3f}",
                    size,
                    heardAll(tier).retainedBytes(),
                    busiestRouterOverMean(new Instance(tier, 0), tier.routers())));
        }
        System.out.println("{\n" + String.join(",\n", lines) + "\n}");
    }

    private static Instance heardAll(TierSize tier) {
        Instance instance = new Instance(tier, 0);
        instance.tick();
        Peers peers = new Peers(tier);
        for (int i = 0; i < peers.count(); i++) {
            instance.handle(peers.next());
        }
        return instance;
    }

    /** Serves requests for keys drawn evenly, and compares the router that got most of them with the mean one. */
    private static double busiestRouterOverMean(Instance instance, int routers) {
        Map<Long, Integer> served = new HashMap<>();
        SplittableRandom random = new SplittableRandom(1);
        instance.tick();
        for (int i = 0; i < REQUESTS; i++) {
            Request request = instance.request("request", random.nextLong());
            for (Action action : List.copyOf(instance.handle(request))) {
                if (action instanceof Send send) {
                    served.merge(send.server(), 1, Integer::sum);
                    instance.handle(new AttemptEnded(
                            request.id(), 0, send.server(), Outcome.SERVED, 20_000, true, 0, new double[0]));
                }
            }
            if (i % REQUESTS_PER_TICK == 0) {
                instance.tick();
            }
        }
        int most = served.values().stream().max(Integer::compare).orElse(0);
        return (double) most * routers / REQUESTS;
    }
}
