package baymoor.tier.simulation;

import baymoor.tier.exchange.TrafficEstimate;
import baymoor.tier.place.Level;
import baymoor.tier.place.Places;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

/**
 * A network between balancers in virtual time, with delays by location and injected faults. Counts the traffic of each balancer.
 */
public final class Network {

    /** The faults that a test injects. */
    public static final class Faults {
        /** The probability that a datagram is lost. */
        public double loss;
        /** The probability that a datagram is delivered twice. */
        public double duplication;
        /** The upper bound of a uniformly distributed delay in addition to that between the locations. */
        public long jitterMicros;
        /** Whether datagrams from one balancer to another are dropped. */
        public BiPredicate<Integer, Integer> blocked = (from, to) -> false;
    }

    /** Receives delivered datagrams. */
    @FunctionalInterface
    public interface Receiver {
        void receive(int from, int to, byte[] datagram);
    }

    private record Arrival(long micros, long number, int from, int to, byte[] datagram) {}

    private static final long[] DELAY_MICROS_BY_LEVEL = {300, 1_000, 5_000, 40_000};

    public final Faults faults = new Faults();
    public final long[] sentBytes;
    public final long[] receivedBytes;
    public final long[] sentMessages;
    public final long[] receivedMessages;
    private final Places places;
    private final Random random;
    private final PriorityQueue<Arrival> arrivals =
            new PriorityQueue<>(Comparator.comparingLong(Arrival::micros).thenComparingLong(Arrival::number));
    private long arrivalCount;

    public Network(Places places, long seed) {
        this.places = places;
        random = new Random(seed);
        sentBytes = new long[places.balancers()];
        receivedBytes = new long[places.balancers()];
        sentMessages = new long[places.balancers()];
        receivedMessages = new long[places.balancers()];
    }

    /** Returns the delay between two balancers, which depends on the smallest group that contains both. */
    public long delayMicros(int from, int to) {
        int level = 0;
        while (places.group(Level.of(level), from) != places.group(Level.of(level), to)) {
            level++;
        }
        return DELAY_MICROS_BY_LEVEL[level];
    }

    public void send(long nowMicros, int from, int to, byte[] datagram) {
        sentMessages[from]++;
        sentBytes[from] += datagram.length + TrafficEstimate.HEADER_BYTES;
        if (faults.blocked.test(from, to) || random.nextDouble() < faults.loss) {
            return;
        }
        int copies = random.nextDouble() < faults.duplication ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            long jitter = faults.jitterMicros == 0 ? 0 : (long) (random.nextDouble() * faults.jitterMicros);
            long arrivalMicros = nowMicros + delayMicros(from, to) + jitter;
            arrivals.add(new Arrival(arrivalMicros, arrivalCount++, from, to, datagram));
        }
    }

    /** Returns the time of the next delivery, or {@link Long#MAX_VALUE}. */
    public long nextMicros() {
        return arrivals.isEmpty() ? Long.MAX_VALUE : arrivals.peek().micros();
    }

    /** Delivers all datagrams that arrive up to the given time. */
    public void deliver(long nowMicros, Receiver receiver) {
        while (nextMicros() <= nowMicros) {
            Arrival arrival = arrivals.poll();
            receivedMessages[arrival.to()]++;
            receivedBytes[arrival.to()] += arrival.datagram().length + TrafficEstimate.HEADER_BYTES;
            receiver.receive(arrival.from(), arrival.to(), arrival.datagram());
        }
    }

    /** Resets the traffic counts of all balancers. */
    public void resetCounts() {
        for (long[] counts : new long[][] {sentBytes, receivedBytes, sentMessages, receivedMessages}) {
            java.util.Arrays.fill(counts, 0);
        }
    }
}
