package baymoor.tier.exchange;

import baymoor.tier.message.Totals;
import baymoor.tier.place.Group;
import baymoor.tier.place.Places;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** A small tier of exchanges that is stepped through each epoch, with the delivery of every datagram chosen by the test. */
final class ExchangeHarness {

    /** How a datagram is delivered. */
    enum Delivery {
        DELIVERED,
        DROPPED,
        /** Delivered two epochs late, after datagrams that were sent later. */
        DELAYED,
        DUPLICATED
    }

    /** Chooses how each datagram is delivered; datagrams are numbered from 0. */
    interface DeliveryPlan {
        Delivery of(int number, int epoch, int from, int to);
    }

    private record DelayedDatagram(int epoch, int from, int to, byte[] datagram) {}

    static final int FIRST_EPOCH = 100;
    private static final long EPOCH_MICROS = Timing.DEFAULT.epochMicros();
    /** Times of the steps in percent of an epoch: around each time at which a balancer sends. */
    private static final int[] STEP_PERCENTS = {1, 6, 12, 41, 50, 66, 80, 92};

    private final Places places;
    private final Function<Group, ShareRules> rules;
    private final DeliveryPlan deliveryPlan;
    private final Exchange[] exchanges;
    private final double[] missWeights;
    private final List<DelayedDatagram> delayed = new ArrayList<>();
    private int sentCount;
    private int epoch = FIRST_EPOCH;

    ExchangeHarness(Places places, Function<Group, ShareRules> rules, DeliveryPlan deliveryPlan) {
        this.places = places;
        this.rules = rules;
        this.deliveryPlan = deliveryPlan;
        exchanges = new Exchange[places.balancers()];
        missWeights = new double[places.balancers()];
        for (int b = 0; b < exchanges.length; b++) {
            exchanges[b] = startExchange(b, (FIRST_EPOCH - 1) * EPOCH_MICROS);
        }
    }

    private Exchange startExchange(int balancer, long startMicros) {
        return new Exchange(places, balancer, balancer, Timing.DEFAULT, startMicros, rules);
    }

    /** Sets a balancer's queued misses, which determine its weight. */
    void setMissWeight(int balancer, double weight) {
        missWeights[balancer] = weight;
    }

    int balancers() {
        return exchanges.length;
    }

    /** Replaces a balancer's process by a new one that takes the given time for the current time. */
    void restart(int balancer, long nowMicros) {
        exchanges[balancer] = startExchange(balancer, nowMicros);
    }

    /**
     * Runs one epoch.
     *
     * @param restartedBalancer the balancer that restarts, or -1
     * @param restartStep the step at which it restarts
     * @param forgetsSentEpoch whether it starts in the previous epoch, so that it may send twice in this one
     */
    void runEpoch(int restartedBalancer, int restartStep, boolean forgetsSentEpoch) {
        for (int step = 0; step < STEP_PERCENTS.length; step++) {
            long now = epoch * EPOCH_MICROS + STEP_PERCENTS[step] * EPOCH_MICROS / 100;
            if (restartedBalancer >= 0 && step == restartStep) {
                restart(restartedBalancer, forgetsSentEpoch ? now - EPOCH_MICROS : now);
            }
            for (int b = 0; b < exchanges.length; b++) {
                int from = b;
                Totals own = new Totals(1, 0, (long) missWeights[b], 1 + missWeights[b], 0, 0, 1, 0, 0, 0);
                exchanges[b].report(own, new int[0]);
                exchanges[b].sendDue(now, (to, datagram) -> send(now, from, to, datagram));
            }
        }
        epoch++;
        long start = epoch * EPOCH_MICROS;
        List<DelayedDatagram> due =
                delayed.stream().filter(f -> f.epoch() + 2 <= epoch).toList();
        delayed.removeAll(due);
        due.forEach(f -> deliver(start, f.from(), f.to(), f.datagram()));
    }

    private void send(long now, int from, int to, byte[] datagram) {
        Delivery delivery = deliveryPlan.of(sentCount++, epoch, from, to);
        if (delivery == Delivery.DELAYED) {
            delayed.add(new DelayedDatagram(epoch, from, to, datagram));
        } else if (delivery != Delivery.DROPPED) {
            deliver(now, from, to, datagram);
            if (delivery == Delivery.DUPLICATED) {
                deliver(now, from, to, datagram);
            }
        }
    }

    private void deliver(long now, int from, int to, byte[] datagram) {
        exchanges[to].receive(now, from, datagram, (next, copy) -> {});
    }

    /** Returns the sum of all balancers' shares of the allowance in the current epoch. */
    double totalShare() {
        double sum = 0;
        for (Exchange exchange : exchanges) {
            sum += exchange.allowanceShare(epoch * EPOCH_MICROS);
        }
        return sum;
    }

    double share(int balancer) {
        return exchanges[balancer].allowanceShare(epoch * EPOCH_MICROS);
    }

    Exchange exchange(int balancer) {
        return exchanges[balancer];
    }
}
