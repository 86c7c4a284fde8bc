package baymoor.scale.run;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.ScenarioReader;
import baymoor.emulator.scenario.Span;
import baymoor.scale.plan.Places;
import baymoor.scale.plan.ScalePlan;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A plan as the emulator's scenarios: one of the whole tier, for settings, and one of what the real balancers face. */
final class Scenarios {

    /** Middle of the work of a read, in seconds of a core, as scenarios have it by themselves. */
    private static final double WORK_SECONDS = 0.1335;

    private static final int CORES = 2;
    private static final double LEAST_SPEED = 1.5;
    /** Of what routers can do, the part that is asked of them. */
    private static final double ROUTER_LOAD = 0.4;

    private static final double LEAST_RATE = 0.001;
    private static final int MOST_BALANCERS_READ = 200;

    private static final String TEMPLATE = """
            zones = [%s]
            warm_up = "%dus"
            duration = "%dus"
            [balancers]
            count = %d
            [[routers]]
            kind = "router"
            count = %d
            cores = %d
            speed = %.4f
            speed_spread = "0%%"
            [origin]
            capacity = "%.3f/s"
            [keys]
            count = %d
            exponent = %.4f
            size = "%dB"
            [told]
            cpu = "%dus"
            [discovery]
            notice = "50ms"
            add = "50ms"
            spread = %s
            call = "%dus"
            line = "%dus"
            [traffic]
            rate = "%.4f/s"
            wave = "0%%"
            zone_shares = [%s]
            """;

    private Scenarios() {}

    /** The whole tier, from which the settings of each balancer come. */
    static Scenario tier(ScalePlan plan) {
        return scenario(plan, plan.balancers().count(), plan.origin().capacity());
    }

    /** The real balancers' part of the tier, which is played on sockets. */
    static Scenario real(ScalePlan plan) {
        int real = plan.balancers().real();
        double part = (double) Math.max(1, real) / plan.balancers().count();
        return scenario(plan, Math.max(1, real), plan.origin().capacity() * part);
    }

    private static Scenario scenario(ScalePlan plan, int balancers, double originCapacity) {
        Scenario read = ScenarioReader.own(text(plan, balancers, originCapacity), plan.name());
        return new Scenario(
                read.name(),
                read.about(),
                plan.seed(),
                read.warmUpMicros(),
                read.durationMicros(),
                read.zones(),
                read.net(),
                new Scenario.Balancers(
                        balancers,
                        read.balancers().startMicros(),
                        read.balancers().eventMicros(),
                        read.balancers().sockets(),
                        true,
                        false),
                read.routers(),
                read.origin(),
                read.discovery(),
                read.traffic(),
                read.classes(),
                read.tenants(),
                read.keys(),
                read.figures(),
                read.moduleSettings(),
                read.script());
    }

    private static String text(ScalePlan plan, int balancers, double originCapacity) {
        double asked = plan.traffic().perBalancer() * balancers;
        boolean nobodyReal = plan.balancers().real() == 0 && balancers == 1;
        double rate = nobodyReal ? LEAST_RATE : Math.max(LEAST_RATE, asked);
        double speed = Math.max(
                LEAST_SPEED,
                asked * WORK_SECONDS / ROUTER_LOAD / (CORES * plan.routers().count()));
        return String.format(
                        Locale.ROOT,
                        TEMPLATE,
                        plan.places().zoneNames().stream()
                                .map(name -> "\"" + name + "\"")
                                .collect(Collectors.joining(", ")),
                        plan.warmUpMicros(),
                        plan.durationMicros(),
                        Math.min(MOST_BALANCERS_READ, balancers),
                        plan.routers().count(),
                        CORES,
                        speed,
                        originCapacity,
                        plan.traffic().keys(),
                        plan.traffic().exponent(),
                        plan.traffic().valueBytes(),
                        plan.balancers().cpuMicros(),
                        span(plan.discovery().spread()),
                        plan.discovery().callMicros(),
                        plan.discovery().lineMicros(),
                        rate,
                        shares(plan.places()))
                + changes(plan);
    }

    private static String span(Span span) {
        return "[\"" + span.least() + "us\", \"" + span.most() + "us\"]";
    }

    private static String shares(Places places) {
        int zones = places.zones().size();
        return IntStream.range(0, zones)
                .mapToObj(zone -> String.format(Locale.ROOT, "\"%.6f%%\"", 100 * places.weightOf(zone) / zones))
                .collect(Collectors.joining(", "));
    }

    /** Routers that drain and come back, evenly over the run, and those of the script. */
    private static String changes(ScalePlan plan) {
        StringBuilder text = new StringBuilder();
        double rate = plan.changes().rate();
        for (int i = 0; rate > 0 && (i + 0.5) / rate * 1e6 < plan.durationMicros(); i++) {
            text.append(drain((long) ((i + 0.5) / rate * 1e6), plan.changes().lasting(), 1));
        }
        for (ScalePlan.Act act : plan.script()) {
            if (act.what() == ScalePlan.What.DRAIN_ROUTER) {
                text.append(drain(act.atMicros(), act.forMicros(), act.count()));
            } else if (act.what() == ScalePlan.What.DISCOVERY_DOWN) {
                text.append(String.format(
                        Locale.ROOT,
                        "[[script]]%nat = \"%dus\"%ndo = \"discovery-down\"%nfor = \"%dus\"%n",
                        act.atMicros(),
                        act.forMicros()));
            }
        }
        return text.toString();
    }

    private static String drain(long atMicros, long forMicros, int count) {
        return String.format(
                Locale.ROOT,
                "[[script]]%nat = \"%dus\"%ndo = \"drain-router\"%nfor = \"%dus\"%ncount = %d%n",
                atMicros,
                forMicros,
                count);
    }
}
