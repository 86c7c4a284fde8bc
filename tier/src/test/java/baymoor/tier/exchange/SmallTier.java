package baymoor.tier.exchange;

import baymoor.tier.message.Totals;
import baymoor.tier.place.Group;
import baymoor.tier.place.Places;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * A few exchanges, stepped through the moments of each epoch, with every datagram's fate chosen by the test: the smallest thing
 * that has two groups of two members each.
 */
final class SmallTier {

    /** What becomes of a datagram. */
    enum Fate {
        ARRIVES,
        LOST,
        /** Arrives two epochs late, overtaken by those after it. */
        LATE,
        TWICE
    }

    /** Chooses the fate of each datagram, by its number from the start. */
    interface Fates {
        Fate of(int number, int epoch, int from, int to);
    }

    private record Flight(int epoch, int from, int to, byte[] datagram) {}

    static final int FIRST = 100;
    private static final long EPOCH = Timing.USUAL.epochMicros();
    /** In percent of an epoch: around each moment at which somebody speaks. */
    private static final int[] MOMENTS = {1, 6, 12, 41, 50, 66, 80, 92};

    private final Places places;
    private final Function<Group, PartRules> rules;
    private final Fates fates;
    private final Exchange[] exchanges;
    private final double[] missing;
    private final List<Flight> late = new ArrayList<>();
    private int sent;
    private int epoch = FIRST;

    SmallTier(Places places, Function<Group, PartRules> rules, Fates fates) {
        this.places = places;
        this.rules = rules;
        this.fates = fates;
        exchanges = new Exchange[places.balancers()];
        missing = new double[places.balancers()];
        for (int b = 0; b < exchanges.length; b++) {
            exchanges[b] = process(b, (FIRST - 1) * EPOCH);
        }
    }

    private Exchange process(int balancer, long startMicros) {
        return new Exchange(places, balancer, balancer, Timing.USUAL, startMicros, rules);
    }

    /** A balancer's misses; they make its weight. */
    void misses(int balancer, double weight) {
        missing[balancer] = weight;
    }

    int balancers() {
        return exchanges.length;
    }

    /** A new process in the place of the old one; {@code beforeMicros} earlier than now is a mistake. */
    void restart(int balancer, long nowMicros) {
        exchanges[balancer] = process(balancer, nowMicros);
    }

    /** Runs one epoch; a process restarts at one of its moments, or none does. */
    void epoch(int restarting, int restartMoment, boolean forgetsItSpoke) {
        for (int moment = 0; moment < MOMENTS.length; moment++) {
            long now = epoch * EPOCH + MOMENTS[moment] * EPOCH / 100;
            if (restarting >= 0 && moment == restartMoment) {
                restart(restarting, forgetsItSpoke ? now - EPOCH : now);
            }
            for (int b = 0; b < exchanges.length; b++) {
                int from = b;
                Totals own = new Totals(1, 0, (long) missing[b], 1 + missing[b], 0, 0, 1, 0, 0, 0);
                exchanges[b].report(own, new int[0]);
                exchanges[b].advance(now, (to, datagram) -> send(now, from, to, datagram));
            }
        }
        epoch++;
        long start = epoch * EPOCH;
        List<Flight> due = late.stream().filter(f -> f.epoch() + 2 <= epoch).toList();
        late.removeAll(due);
        due.forEach(f -> arrive(start, f.from(), f.to(), f.datagram()));
    }

    private void send(long now, int from, int to, byte[] datagram) {
        Fate fate = fates.of(sent++, epoch, from, to);
        if (fate == Fate.LATE) {
            late.add(new Flight(epoch, from, to, datagram));
        } else if (fate != Fate.LOST) {
            arrive(now, from, to, datagram);
            if (fate == Fate.TWICE) {
                arrive(now, from, to, datagram);
            }
        }
    }

    private void arrive(long now, int from, int to, byte[] datagram) {
        exchanges[to].hear(now, from, datagram, (next, copy) -> {});
    }

    /** What all may fetch together in the present epoch, as a part of the allowance. */
    double together() {
        double sum = 0;
        for (Exchange exchange : exchanges) {
            sum += exchange.part(epoch * EPOCH);
        }
        return sum;
    }

    double part(int balancer) {
        return exchanges[balancer].part(epoch * EPOCH);
    }

    Exchange exchange(int balancer) {
        return exchanges[balancer];
    }
}
