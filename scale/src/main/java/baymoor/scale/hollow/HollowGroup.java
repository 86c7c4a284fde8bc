package baymoor.scale.hollow;

import baymoor.scale.loop.DecisionLoop;
import baymoor.scale.loop.Work;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/** The balancers of one decision thread, on which all but the making of it happens. */
final class HollowGroup {

    static final long LONGEST_AGE_MICROS = 600_000_000;
    private static final long AGES_MICROS = 250_000;
    /** Who was not heard for so long is silent to the decision module. */
    private static final long SILENT_MICROS = 3_000_000;

    private final DecisionLoop loop;
    private final PlaceNetwork network;
    private final List<HollowBalancer> balancers = new ArrayList<>();
    private final Histogram ages = new Histogram(LONGEST_AGE_MICROS, 2);
    private final Histogram realAges = new Histogram(LONGEST_AGE_MICROS, 2);
    /** Balancers of the tier that don't run: ages of what is known of them tell nothing. */
    private final boolean[] absent;

    private boolean sampling;

    /** @param count balancers of the whole tier */
    HollowGroup(DecisionLoop loop, PlaceNetwork network, int count) {
        this.loop = loop;
        this.network = network;
        absent = new boolean[count];
    }

    DecisionLoop loop() {
        return loop;
    }

    PlaceNetwork network() {
        return network;
    }

    List<HollowBalancer> balancers() {
        return balancers;
    }

    Histogram ages() {
        return ages;
    }

    Histogram realAges() {
        return realAges;
    }

    /** Notes that balancers of the tier, wherever they are, run no more or run again. */
    void mark(List<Integer> numbers, boolean gone) {
        numbers.forEach(number -> absent[number] = gone);
    }

    /** Forgets ages, lateness and changes of the list so far, and samples ages from now on. */
    void reset() {
        ages.reset();
        realAges.reset();
        loop.resetLateness();
        balancers.forEach(balancer -> balancer.known().clear());
        if (!sampling) {
            sampling = true;
            sampleAgain();
        }
    }

    private void sampleAgain() {
        loop.after(AGES_MICROS, Work.TOOL, () -> {
            sampleAges();
            sampleAgain();
        });
    }

    /** Looks how old what each balancer knows of each other one is. */
    private void sampleAges() {
        long now = loop.clock().micros();
        for (HollowBalancer balancer : balancers) {
            if (!absent[balancer.number()]) {
                note(ages, balancer.traffic().heardMicros, now);
                note(realAges, balancer.traffic().toRealMicros, now);
            }
        }
    }

    private void note(Histogram histogram, long[] times, long now) {
        for (int other = 0; other < times.length; other++) {
            if (times[other] != 0 && !absent[other]) {
                histogram.recordValue(Math.min(LONGEST_AGE_MICROS, Math.max(0, now - times[other])));
            }
        }
    }

    /** Whether a balancer runs and has lately heard each other one that runs. */
    private boolean fresh(HollowBalancer balancer) {
        long since = loop.clock().micros() - SILENT_MICROS;
        for (int other = 0; other < absent.length; other++) {
            boolean heard = balancer.traffic().heardMicros[other] > since;
            if (other != balancer.number() && !absent[other] && !heard) {
                return false;
            }
        }
        return balancer.version() > 0;
    }

    private int count(Predicate<HollowBalancer> which) {
        return (int) balancers.stream().filter(which).count();
    }

    /** How far its balancers have come. */
    Status status() {
        return new Status(
                0,
                count(balancer -> balancer.version() > 0),
                count(HollowBalancer::listed),
                count(HollowBalancer::heardAll),
                count(this::fresh),
                balancers.stream()
                        .mapToLong(HollowBalancer::version)
                        .filter(version -> version > 0)
                        .min()
                        .orElse(Long.MAX_VALUE),
                balancers.stream()
                        .mapToLong(balancer -> balancer.world().fetches())
                        .sum());
    }
}
