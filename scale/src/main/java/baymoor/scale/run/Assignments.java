package baymoor.scale.run;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Span;
import baymoor.scale.hollow.Assignment;
import baymoor.scale.plan.Places;
import baymoor.scale.plan.ScalePlan;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/** Puts a plan into what a process of hollow balancers is told. */
final class Assignments {

    private static final int PER_LOOP = 10;

    private final ScalePlan plan;
    private final Scenario tier;
    private final Configurations configurations;
    private final Path folder;

    Assignments(ScalePlan plan, Scenario tier, Configurations configurations, Path folder) {
        this.plan = plan;
        this.tier = tier;
        this.configurations = configurations;
        this.folder = folder;
    }

    /** What the process with these balancers is told. */
    Assignment of(List<Integer> numbers) {
        Places places = plan.places();
        int count = plan.balancers().count();
        int observer = numbers.isEmpty() ? 0 : numbers.get(0);
        return new Assignment(
                folder.toString(),
                plan.seed(),
                plan.slowdown(),
                numbers,
                count,
                plan.balancers().real(),
                IntStream.range(0, count)
                        .mapToObj(balancer -> Addresses.text(configurations.seenBy(observer, balancer)))
                        .toList(),
                PER_LOOP,
                IntStream.range(0, count).mapToObj(places::zoneOf).toList(),
                IntStream.range(0, count).mapToObj(places::siteOf).toList(),
                places.zones().stream().map(Places.Zone::region).toList(),
                ways(),
                drawn());
    }

    private Assignment.Ways ways() {
        ScalePlan.Network network = plan.network();
        return new Assignment.Ways(
                ends(network.sameSite()),
                ends(network.sameZone()),
                ends(network.sameRegion()),
                ends(network.betweenRegions()),
                network.loss());
    }

    private static List<Long> ends(Span span) {
        return List.of(span.least(), span.most());
    }

    private Assignment.Drawn drawn() {
        ScalePlan.Traffic traffic = plan.traffic();
        return new Assignment.Drawn(
                IntStream.range(0, plan.places().zones().size())
                        .mapToObj(zone -> traffic.perBalancer() * plan.places().weightOf(zone))
                        .toList(),
                traffic.keys(),
                traffic.exponent(),
                traffic.valueBytes(),
                ends(plan.routers().latency()),
                plan.routers().miss(),
                ends(plan.origin().latency()),
                tier.classes().stream()
                        .map(kind -> new Assignment.RequestKind(
                                kind.name(),
                                kind.share(),
                                kind.write(),
                                kind.giveUpMicros(),
                                kind.work().middle()))
                        .toList(),
                tier.tenants().get(0).name());
    }
}
