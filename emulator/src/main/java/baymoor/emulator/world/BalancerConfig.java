package baymoor.emulator.world;

import baymoor.emulator.scenario.Scenario;
import baymoor.emulator.scenario.Scenario.Effect;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.Locale;

/** Writes the JSON configuration with which a balancer of a scenario starts. */
public final class BalancerConfig {

    /** Part of the routers' capacity that the tenants' quotas add up to. */
    private static final double QUOTA_SHARE_OF_CAPACITY = 0.85;

    private BalancerConfig() {}

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the configuration of a balancer that starts now.
     *
     * @param seed random seed, a new one for each start
     */
    public static String json(Scenario scenario, Platform platform, World world, int balancer, long seed) {
        ObjectNode config = Listing.JSON.createObjectNode();
        config.put("name", "n" + balancer)
                .put("listen", hostAndPort(platform.balancer(balancer)))
                .put("discovery", hostAndPort(platform.address(world.discoveryPlace(balancer), balancer)))
                .put("seed", HexFormat.of().toHexDigits(seed));
        config.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", 128)
                .put("sockets", scenario.balancers().sockets());
        if (scenario.balancers().peers()) {
            config.put("peer_listen", hostAndPort(platform.peer(balancer, balancer)));
            ArrayNode peers = config.putArray("peers");
            for (int b = 0; b < scenario.balancers().count(); b++) {
                peers.add(hostAndPort(platform.peer(b, balancer)));
            }
            if (platform.everyone() != null) {
                config.put("peers_all", hostAndPort(platform.everyone()));
            }
        }
        config.set(
                "known",
                Listing.object(
                        world.index(balancer),
                        true,
                        world.listed(balancer),
                        place -> platform.address(place, balancer),
                        platform::unixMillis));
        putSettings(config.putObject("settings"), scenario, balancer);
        return config.toString();
    }

    private static void putSettings(ObjectNode settings, Scenario scenario, int balancer) {
        Scenario.Figures figures = scenario.figures();
        settings.put("me", balancer)
                .put("siblings", scenario.balancers().count())
                .put("az", scenario.zones().get(balancer % scenario.zones().size()))
                .put("membership_mode", scenario.discovery().pushed() ? "automatic" : "subscribe")
                .put("weights", "rough")
                .put("tick", 5000)
                .put("counted_by", scenario.moduleSettings().byWork() ? "work" : "request")
                .put("over_share_worth", scenario.moduleSettings().overShare())
                .put("layer", 0);
        ArrayNode zones = settings.putArray("failure_domains");
        scenario.zones().forEach(zones::add);
        ArrayNode routerKinds = settings.putArray("skus");
        scenario.routers().forEach(k -> routerKinds.add(k.name()));
        routerKinds.add("origin");
        settings.putArray("layers").add("map-cache");
        settings.putObject("extra")
                .put("mode", "aside")
                .put("origin_kind", scenario.routers().size())
                .put("origin_fall_multiple", scenario.origin().fallMultiple())
                .put("origin_fall", scenario.origin().fallMicros());
        putClasses(settings.putArray("classes"), scenario);
        putTenants(settings.putArray("tenants"), scenario);
        putLimits(settings.putObject("limits"), scenario);
        putRules(settings.putObject("rules"), scenario);
        putPrices(settings.putObject("prices"));
        settings.putObject("scoring_mix")
                .put("whole", 0.25)
                .put("worst_window", 0.45)
                .put("worst_class", 0.2)
                .put("worst_tenant", 0.1);
        ArrayNode loadFields = settings.putObject("load_info")
                .put("how", figures.reports().name().toLowerCase(Locale.ROOT))
                .putArray("names");
        if (figures.reports() != Scenario.Reports.OFF) {
            LoadReporter.FIELD_NAMES.forEach(loadFields::add);
        }
        settings.putObject("client_habits")
                .put("marks_retry", scenario.moduleSettings().retries());
    }

    private static void putClasses(ArrayNode classes, Scenario scenario) {
        for (Scenario.RequestClass requestClass : scenario.classes()) {
            String effect = requestClass.effect() == Effect.SAFE
                    ? "retryable"
                    : requestClass.effect() == Effect.KEYED ? "dedup" : "fragile";
            classes.addObject()
                    .put("name", requestClass.name())
                    .put("effect", effect)
                    .put("group", "all")
                    .put("on_time", requestClass.aimMicros())
                    .put("hard_limit", requestClass.giveUpMicros())
                    .put("key_ttl", requestClass.windowMicros())
                    .put("value", requestClass.worth())
                    .put("late_worth", 0.0)
                    .put("streamed", false);
        }
    }

    private static void putTenants(ArrayNode tenants, Scenario scenario) {
        double quotaPerSecond = capacityPerSecond(scenario) * QUOTA_SHARE_OF_CAPACITY;
        for (Scenario.Tenant tenant : scenario.tenants()) {
            tenants.addObject()
                    .put("name", tenant.name())
                    .put("share", tenant.share())
                    .put("quota_per_s", quotaPerSecond * tenant.share());
        }
    }

    private static void putLimits(ObjectNode limits, Scenario scenario) {
        Scenario.Figures figures = scenario.figures();
        long minIdleMicros = scenario.routers().stream()
                .mapToLong(Scenario.RouterKind::idleMicros)
                .min()
                .orElse(0);
        limits.put("max_attempts", figures.maxAttempts())
                .put("open_cap", 20_000)
                .put("second_copies", false)
                .put("may_cancel", figures.mayCancel())
                .put("may_probe", scenario.balancers().probes())
                .put("may_tell", scenario.balancers().peers())
                .put("retry_after", figures.retryAfter())
                .put("max_retry_after", figures.maxRetryAfterMicros())
                .put("connect_timeout", figures.connectMicros())
                .put("idle_close", minIdleMicros)
                .put("streams_per_conn", scenario.moduleSettings().streams())
                .put("cpu_us_per_s", scenario.moduleSettings().cpuMicros())
                .put("cpu_us_per_request", scenario.moduleSettings().cpuPerRequestMicros());
    }

    private static void putRules(ObjectNode rules, Scenario scenario) {
        Scenario.Figures figures = scenario.figures();
        double minColdShare = scenario.routers().stream()
                .mapToDouble(Scenario.RouterKind::coldShare)
                .min()
                .orElse(1);
        long maxColdMicros = scenario.routers().stream()
                .mapToLong(k -> k.coldMicros().most())
                .max()
                .orElse(0);
        rules.put("answer_slack", figures.answerSlackMicros())
                .put("drain_grace", figures.drainGraceMicros())
                .put("ask_within", figures.askWithinMicros())
                .put("start_capacity", minColdShare)
                .put("cold", maxColdMicros)
                .put("tip_multiple", figures.tipMultiple())
                .put("overload_for", figures.tipMicros());
    }

    private static void putPrices(ObjectNode prices) {
        prices.put("cross_zone", 0.03)
                .put("late_fail", 0.03)
                .put("origin", 0.03)
                .put("peer", 0.01)
                .put("probe", 0.01)
                .put("waste", 0.08);
    }

    /** Returns the requests per second that all routers can serve after their warm-up. */
    private static double capacityPerSecond(Scenario scenario) {
        double cores = scenario.routers().stream()
                .mapToDouble(k -> k.count() * k.cores() * k.speed())
                .sum();
        double meanWorkMicros = scenario.classes().stream()
                .mapToDouble(c -> c.share() * c.work().middle())
                .sum();
        return cores / (meanWorkMicros / 1e6);
    }
}
