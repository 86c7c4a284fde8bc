package baymoor.scale.run;

import baymoor.emulator.world.Fleet;
import baymoor.link.Time;
import baymoor.scale.hollow.Command;
import baymoor.scale.plan.Places;
import baymoor.scale.plan.ScalePlan;
import baymoor.scale.plan.ScalePlan.Act;
import baymoor.scale.plan.ScalePlan.What;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;

/** Plays a plan's faults of balancers and of the network; those of routers and discovery are the world's. On its thread. */
final class Script {

    /** From the end of a process to its successor's start, where a balancer is restarted. */
    private static final long RESTART_MICROS = 1_000_000;

    private final ScalePlan plan;
    private final Time time;
    private final ScalePlatform platform;
    private final Configurations configurations;
    private final HollowFleet hollow;
    private final Fleet real;
    private final DatagramRelay relay;
    private final Consumer<String> over;
    private final Consumer<String> failed;
    private final Random random;

    /**
     * @param relay of the real balancers' datagrams, or null
     * @param over  hears of each fault that is over
     */
    Script(
            ScalePlan plan,
            Time time,
            ScalePlatform platform,
            Configurations configurations,
            HollowFleet hollow,
            Fleet real,
            DatagramRelay relay,
            Consumer<String> over,
            Consumer<String> failed) {
        this.plan = plan;
        this.time = time;
        this.platform = platform;
        this.configurations = configurations;
        this.hollow = hollow;
        this.real = real;
        this.relay = relay;
        this.over = over;
        this.failed = failed;
        random = new Random(plan.seed());
    }

    /** Whether datagrams of real balancers are to be held up, lost or cut at any time. */
    static boolean needsRelay(ScalePlan plan) {
        return plan.balancers().real() > 0
                && (!plan.network().plain()
                        || plan.script().stream()
                                .anyMatch(act -> act.what() == What.CUT_ZONE
                                        || act.what() == What.CUT_REGION
                                        || act.what() == What.LOSE_DATAGRAMS));
    }

    /** Sets all acts going; times count from the end of the warm-up. */
    void begin() {
        for (Act act : plan.script()) {
            time.schedule(plan.warmUpMicros() + act.atMicros(), () -> attempt(() -> play(act)));
        }
    }

    /** Something that talks to a process, which may be gone. */
    private interface Step {
        void run() throws IOException;
    }

    private void attempt(Step step) {
        try {
            step.run();
        } catch (IOException e) {
            failed.accept("an act of the script failed: " + e.getMessage());
        }
    }

    private void play(Act act) throws IOException {
        switch (act.what()) {
            case CUT_ZONE -> cutFor(List.of(act.place()), act);
            case CUT_REGION -> cutFor(plan.places().zonesOfRegion(act.place()), act);
            case LOSE_ZONE -> killFor(inZone(act.place()), act.forMicros(), () -> ended(act));
            case KILL_BALANCERS -> killFor(some(act.count()), act.forMicros(), () -> ended(act));
            case RESTART_BALANCERS -> restart(act);
            case LOSE_DATAGRAMS -> {
                lose(act.share());
                time.schedule(
                        act.forMicros(),
                        () -> attempt(() -> {
                            lose(0);
                            ended(act);
                        }));
            }
            case DRAIN_ROUTER, DISCOVERY_DOWN -> {
                // The world plays it.
            }
            default -> throw new IllegalStateException("not an act: " + act.what());
        }
    }

    private void ended(Act act) {
        over.accept(act.what().name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }

    private List<Integer> inZone(int zone) {
        Places places = plan.places();
        return IntStream.range(0, plan.balancers().count())
                .filter(balancer -> places.zoneOf(balancer) == zone)
                .boxed()
                .toList();
    }

    private List<Integer> some(int count) {
        List<Integer> numbers = new ArrayList<>(
                IntStream.range(0, plan.balancers().count()).boxed().toList());
        Collections.shuffle(numbers, random);
        return numbers.subList(0, Math.min(count, numbers.size()));
    }

    private void cutFor(List<Integer> zones, Act act) throws IOException {
        cut(zones, true);
        time.schedule(
                act.forMicros(),
                () -> attempt(() -> {
                    cut(zones, false);
                    ended(act);
                }));
    }

    /** Zones on one side of a cut go on hearing each other. */
    private void cut(List<Integer> zones, boolean on) throws IOException {
        for (int zone : zones) {
            for (int other = 0; other < plan.places().zones().size(); other++) {
                if (!zones.contains(other)) {
                    cut(zone, other, on);
                    cut(other, zone, on);
                }
            }
        }
    }

    private void cut(int from, int to, boolean on) throws IOException {
        hollow.order(Command.cut(from, to, on));
        platform.fabric().cut(from, to, on);
        if (relay != null) {
            relay.cut(from, to, on);
        }
    }

    private void lose(double share) throws IOException {
        hollow.order(Command.value(Command.Order.LOSE, share));
        if (relay != null) {
            relay.lose(share);
        }
    }

    private void killFor(List<Integer> numbers, long micros, Runnable revived) throws IOException {
        hollow.order(Command.on(Command.Order.KILL, numbers));
        numbers.stream().filter(this::isReal).forEach(number -> real.kill(number, micros, false));
        time.schedule(
                micros,
                () -> attempt(() -> {
                    revive(numbers);
                    revived.run();
                }));
    }

    private boolean isReal(int number) {
        return number < plan.balancers().real();
    }

    private void revive(List<Integer> numbers) throws IOException {
        for (int number : numbers) {
            if (!isReal(number)) {
                configurations.write(number);
            }
        }
        hollow.order(Command.on(Command.Order.REVIVE, numbers));
    }

    /** So large a share of the balancers, one after another, evenly over the time that the act has. */
    private void restart(Act act) {
        List<Integer> numbers =
                some((int) Math.round(act.share() * plan.balancers().count()));
        for (int i = 0; i < numbers.size(); i++) {
            int number = numbers.get(i);
            time.schedule(act.withinMicros() * i / numbers.size(), () -> attempt(() -> restart(number)));
        }
        time.schedule(act.withinMicros() + RESTART_MICROS, () -> ended(act));
    }

    private void restart(int number) throws IOException {
        if (isReal(number)) {
            real.restart(number, true);
        } else {
            killFor(List.of(number), RESTART_MICROS, () -> {});
        }
    }
}
