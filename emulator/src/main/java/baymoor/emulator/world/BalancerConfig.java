package baymoor.emulator.world;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.Effect;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.Locale;

/** Writes the configuration of a balancer of a scenario, in the form that the serving program reads. */
public final class BalancerConfig {

    private static final double CAPACITY_WITHIN_SHARES = 0.85;

    private BalancerConfig() {}

    private static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    /**
     * The configuration of a balancer as it should start now.
     *
     * @param seed of this start, new with each
     */
    public static String json(Scenario s, Platform platform, World world, int number, long seed) {
        ObjectNode config = Listing.JSON.createObjectNode();
        config.put("name", "n" + number)
                .put("listen", text(platform.balancer(number)))
                .put("discovery", text(platform.address(world.discoveryPlace(number), number)))
                .put("seed", HexFormat.of().toHexDigits(seed));
        config.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", 128)
                .put("sockets", s.balancers().sockets());
        if (s.balancers().peers()) {
            config.put("peer_listen", text(platform.peer(number, number)));
            ArrayNode peers = config.putArray("peers");
            for (int b = 0; b < s.balancers().count(); b++) {
                peers.add(text(platform.peer(b, number)));
            }
            if (platform.everyone() != null) {
                config.put("peers_all", text(platform.everyone()));
            }
        }
        config.set(
                "known",
                Listing.object(
                        world.index(number),
                        true,
                        world.listed(number),
                        place -> platform.address(place, number),
                        platform::unixMillis));
        settings(config.putObject("settings"), s, number);
        return config.toString();
    }

    private static void settings(ObjectNode set, Scenario s, int number) {
        Scenario.Figures f = s.figures();
        set.put("me", number)
                .put("siblings", s.balancers().count())
                .put("az", s.zones().get(number % s.zones().size()))
                .put("membership_mode", s.discovery().pushed() ? "automatic" : "subscribe")
                .put("weights", "rough")
                .put("tick", 5000)
                .put("counted_by", s.moduleSettings().byWork() ? "work" : "request")
                .put("over_share_worth", s.moduleSettings().overShare())
                .put("layer", 0);
        ArrayNode zones = set.putArray("failure_domains");
        s.zones().forEach(zones::add);
        ArrayNode kinds = set.putArray("skus");
        s.routers().forEach(k -> kinds.add(k.name()));
        kinds.add("origin");
        set.putArray("layers").add("map-cache");
        set.putObject("extra")
                .put("mode", "aside")
                .put("origin_kind", s.routers().size())
                .put("origin_fall_multiple", s.origin().fallMultiple())
                .put("origin_fall", s.origin().fallMicros());
        classes(set.putArray("classes"), s);
        tenants(set.putArray("tenants"), s);
        limits(set.putObject("limits"), s);
        rules(set.putObject("rules"), s);
        prices(set.putObject("prices"));
        set.putObject("scoring_mix")
                .put("whole", 0.25)
                .put("worst_window", 0.45)
                .put("worst_class", 0.2)
                .put("worst_tenant", 0.1);
        ArrayNode names = set.putObject("load_info")
                .put("how", f.reports().name().toLowerCase(Locale.ROOT))
                .putArray("names");
        if (f.reports() != Scenario.Reports.OFF) {
            LoadGauge.NAMES.forEach(names::add);
        }
        set.putObject("client_habits").put("marks_retry", s.moduleSettings().retries());
    }

    private static void classes(ArrayNode classes, Scenario s) {
        for (Scenario.RequestClass c : s.classes()) {
            String effect = c.effect() == Effect.SAFE ? "retryable" : c.effect() == Effect.KEYED ? "dedup" : "fragile";
            classes.addObject()
                    .put("name", c.name())
                    .put("effect", effect)
                    .put("group", "all")
                    .put("on_time", c.aimMicros())
                    .put("hard_limit", c.giveUpMicros())
                    .put("key_ttl", c.windowMicros())
                    .put("value", c.worth())
                    .put("late_worth", 0.0)
                    .put("streamed", false);
        }
    }

    private static void tenants(ArrayNode tenants, Scenario s) {
        double requests = capacity(s) * CAPACITY_WITHIN_SHARES;
        for (Scenario.Tenant t : s.tenants()) {
            tenants.addObject().put("name", t.name()).put("share", t.share()).put("quota_per_s", requests * t.share());
        }
    }

    private static void limits(ObjectNode limits, Scenario s) {
        Scenario.Figures f = s.figures();
        long leastIdle = s.routers().stream()
                .mapToLong(Scenario.RouterKind::idleMicros)
                .min()
                .orElse(0);
        limits.put("max_attempts", f.maxAttempts())
                .put("open_cap", 20_000)
                .put("second_copies", false)
                .put("may_cancel", f.mayCancel())
                .put("may_probe", s.balancers().probes())
                .put("may_tell", s.balancers().peers())
                .put("retry_after", f.retryAfter())
                .put("max_retry_after", f.maxRetryAfterMicros())
                .put("connect_timeout", f.connectMicros())
                .put("idle_close", leastIdle)
                .put("streams_per_conn", s.moduleSettings().streams())
                .put("cpu_us_per_s", s.moduleSettings().cpuMicros())
                .put("cpu_us_per_request", s.moduleSettings().cpuPerRequestMicros());
    }

    private static void rules(ObjectNode rules, Scenario s) {
        Scenario.Figures f = s.figures();
        double leastColdShare = s.routers().stream()
                .mapToDouble(Scenario.RouterKind::coldShare)
                .min()
                .orElse(1);
        long longestCold =
                s.routers().stream().mapToLong(k -> k.coldMicros().most()).max().orElse(0);
        rules.put("answer_slack", f.answerSlackMicros())
                .put("drain_grace", f.drainGraceMicros())
                .put("ask_within", f.askWithinMicros())
                .put("start_capacity", leastColdShare)
                .put("cold", longestCold)
                .put("tip_multiple", f.tipMultiple())
                .put("overload_for", f.tipMicros());
    }

    private static void prices(ObjectNode prices) {
        prices.put("cross_zone", 0.03)
                .put("late_fail", 0.03)
                .put("origin", 0.03)
                .put("peer", 0.01)
                .put("probe", 0.01)
                .put("waste", 0.08);
    }

    /** Requests a second that the routers can serve when all are warm. */
    private static double capacity(Scenario s) {
        double cores = s.routers().stream()
                .mapToDouble(k -> k.count() * k.cores() * k.speed())
                .sum();
        double work = s.classes().stream()
                .mapToDouble(c -> c.share() * c.work().middle())
                .sum();
        return cores / (work / 1e6);
    }
}
