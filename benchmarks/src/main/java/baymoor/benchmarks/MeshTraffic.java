package baymoor.benchmarks;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Outcome;
import merlinstep.Decisions.PeerMessage;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.TellPeer;

/**
 * Counts what a full mesh of decision modules tells: all balancers of a tier in one process and in virtual time, with drawn
 * requests. Messages arrive at once. Nothing in it depends on the machine's speed; the same arguments give the same counts. The result
 * has the form that {@code bin/baymoor scale fit} reads.
 */
public final class MeshTraffic {

    private static final long SECOND_MICROS = 1_000_000;
    private static final long WARM_UP_MICROS = 4 * SECOND_MICROS;
    private static final int HEADER_BYTES = 28;
    private static final int KEYS = 20_000;
    private static final double MISS_SHARE = 0.1;
    private static final long LEAST_LATENCY_MICROS = 20_000;
    private static final long MOST_LATENCY_MICROS = 80_000;
    private static final long ORIGIN_LATENCY_MICROS = 100_000;

    /** Something that falls due; {@code order} keeps what is due at one time in the order in which it was set. */
    private record Due(long atMicros, long order, Runnable task) {}

    private final int routers;
    private final double requestsPerBalancer;
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::atMicros).thenComparingLong(Due::order));
    private long order;
    private long nowMicros;
    private long messages;
    private long bytes;
    private long requests;

    private MeshTraffic(int balancers, int routers, double requestsPerBalancer, long seed) {
        this.routers = routers;
        this.requestsPerBalancer = requestsPerBalancer;
        random = new SplittableRandom(seed);
        for (int index = 0; index < balancers; index++) {
            Instance instance = new Instance(new TierSize(balancers, routers, 0), index);
            instances.add(instance);
            nowMicros = instance.nowMicros();
            int number = index;
            after(
                    random.nextLong(SECOND_MICROS),
                    () -> carryOut(number, at(number).firePending()));
            after(random.nextLong(SECOND_MICROS), () -> request(number));
        }
    }

    /** Arguments: BALANCERS ROUTERS REQUESTS_PER_BALANCER SECONDS SEED. */
    public static void main(String[] arguments) {
        int balancers = Integer.parseInt(arguments[0]);
        int routers = Integer.parseInt(arguments[1]);
        double perBalancer = Double.parseDouble(arguments[2]);
        long seconds = Long.parseLong(arguments[3]);
        long seed = Long.parseLong(arguments[4]);
        MeshTraffic mesh = new MeshTraffic(balancers, routers, perBalancer, seed);
        mesh.run(WARM_UP_MICROS);
        mesh.messages = 0;
        mesh.bytes = 0;
        mesh.requests = 0;
        mesh.run(seconds * SECOND_MICROS);
        System.out.println(mesh.json(balancers, seconds, seed));
    }

    private void run(long micros) {
        long until = nowMicros + micros;
        while (!queue.isEmpty() && queue.peek().atMicros() < until) {
            Due due = queue.poll();
            nowMicros = due.atMicros();
            due.task().run();
        }
        nowMicros = until;
    }

    private void after(long micros, Runnable task) {
        queue.add(new Due(nowMicros + micros, order++, task));
    }

    private Instance at(int index) {
        Instance instance = instances.get(index);
        instance.advance(nowMicros - instance.nowMicros());
        return instance;
    }

    private void request(int index) {
        requests++;
        Instance instance = at(index);
        carryOut(index, instance.handle(instance.request("r" + order++, random.nextInt(KEYS))));
        double gap = -Math.log(1 - random.nextDouble()) / requestsPerBalancer;
        after((long) (gap * SECOND_MICROS), () -> request(index));
    }

    private void carryOut(int index, List<Action> actions) {
        for (Action action : List.copyOf(actions)) {
            if (action instanceof TellPeer tell) {
                tell(index, tell.content());
            } else if (action instanceof SetTimer timer) {
                after(timer.delayMicros(), () -> carryOut(index, at(index).fire(timer.token())));
            } else if (action instanceof Send send) {
                attempt(index, send);
            }
        }
    }

    private void tell(int from, byte[] content) {
        for (int to = 0; to < instances.size(); to++) {
            if (to != from) {
                messages++;
                bytes += content.length;
                carryOut(to, at(to).handle(new PeerMessage(from, content)));
            }
        }
    }

    private void attempt(int index, Send send) {
        boolean origin = send.server() == Instance.ORIGIN_ID;
        boolean miss = !origin && random.nextDouble() < MISS_SHARE;
        long latency = origin ? ORIGIN_LATENCY_MICROS : random.nextLong(LEAST_LATENCY_MICROS, MOST_LATENCY_MICROS);
        Outcome outcome = miss ? Outcome.MISS : Outcome.SERVED;
        AttemptEnded ended = new AttemptEnded(
                send.request(), 0, send.server(), outcome, latency, !miss, miss ? 2 : 1, new double[0]);
        after(latency, () -> carryOut(index, at(index).handle(ended)));
    }

    private String json(int balancers, long seconds, long seed) {
        double perBalancer = 1.0 / seconds / balancers;
        double rate = messages * perBalancer;
        return String.format(
                Locale.ROOT,
                "{\"file\": \"MeshTraffic\", \"seed\": %d, \"valid\": true, \"reasons\": [],%n"
                        + " \"size\": {\"balancers\": %d, \"hollow\": %d, \"real\": 0, \"routers\": %d, \"sites\": 1,"
                        + " \"zones\": 4, \"regions\": 1, \"requestsPerSecond\": %.1f, \"keys\": %d,"
                        + " \"changesPerSecond\": 0, \"seconds\": %d},%n"
                        + " \"hollow\": {\"messagesInPerSecond\": %.3f, \"messagesOutPerSecond\": %.3f,"
                        + " \"bytesInPerSecond\": %.1f, \"bytesOutPerSecond\": %.1f,"
                        + " \"headerBytesInPerSecond\": %.1f, \"headerBytesOutPerSecond\": %.1f},%n"
                        + " \"real\": [], \"changes\": []}",
                seed,
                balancers,
                balancers,
                routers,
                requests / (double) seconds,
                KEYS,
                seconds,
                rate,
                rate,
                bytes * perBalancer,
                bytes * perBalancer,
                HEADER_BYTES * rate,
                HEADER_BYTES * rate);
    }
}
