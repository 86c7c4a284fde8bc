package baymoor.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import merlinstep.Decisions;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Prices;
import merlinstep.Decisions.Reports;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Tenant;
import merlinstep.Decisions.Weights;
import org.json.JSONException;
import org.json.JSONObject;

/** Parses the configuration file and the environment variables into {@link Settings}. */
public final class Config {

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int MIN_SOCKETS = 128;
    /** Bounds the tables that have one entry per balancer. */
    private static final int MAX_BALANCERS = 10_000;

    private static final int UNBOUNDED = Integer.MAX_VALUE;

    private static final Map<String, Effect> EFFECTS =
            Map.of("retryable", Effect.SAFE, "dedup", Effect.KEYED, "fragile", Effect.UNSAFE);
    private static final Map<String, Group> GROUPS = Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL);
    private static final Map<String, Membership> MEMBERSHIPS =
            Map.of("subscribe", Membership.ASK, "automatic", Membership.PUSH);
    private static final Map<String, Mode> MODES = Map.of("aside", Mode.ASIDE, "through", Mode.THROUGH);
    private static final Map<String, Reports> REPORTS =
            Map.of("inline", Reports.WITH_ANSWERS, "on_probe", Reports.WITH_PROBES, "off", Reports.NONE);
    private static final Map<String, Weights> WEIGHTS =
            Map.of("nominal", Weights.NOMINAL, "rough", Weights.ROUGH, "live", Weights.LIVE, "off", Weights.NONE);

    private Config() {}

    /** Returns the path in {@code ROUTER_CONFIG}, or nothing if it is unset or no valid path. */
    public static Optional<Path> file(Map<String, String> environment) {
        try {
            return Optional.ofNullable(environment.get("ROUTER_CONFIG")).map(Path::of);
        } catch (InvalidPathException e) {
            return Optional.empty(); // reported by read()
        }
    }

    /**
     * Reads the file named by {@code ROUTER_CONFIG}; {@code ROUTER_NAME}, {@code ROUTER_LISTEN} and {@code ROUTER_DISCOVERY}
     * are the defaults of its fields.
     *
     * @throws ConfigException if the file can't be read, or a field is missing or invalid
     */
    public static Settings read(Map<String, String> environment) throws ConfigException {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new ConfigException("config: ROUTER_CONFIG is not set");
        }
        try {
            return parse(Files.readString(Path.of(file)), environment);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigException("config: ROUTER_CONFIG can't be read: " + file);
        }
    }

    /**
     * Parses the text of a configuration file.
     *
     * @throws ConfigException if the text isn't JSON, or a field is missing or invalid
     */
    public static Settings parse(String text, Map<String, String> environment) throws ConfigException {
        Fields fields;
        try {
            fields = new Fields("", new JSONObject(text));
        } catch (JSONException e) {
            throw new ConfigException("config: not JSON: " + e.getMessage().replace('\n', ' '));
        }
        String name = fields.string("name", environment.get("ROUTER_NAME"));
        InetSocketAddress listen = required("listen", fields.address("listen", environment.get("ROUTER_LISTEN")));
        InetSocketAddress discovery =
                required("discovery", fields.address("discovery", environment.get("ROUTER_DISCOVERY")));
        int sockets = fields.object("limits").intInRange("sockets", DEFAULT_SOCKETS, MIN_SOCKETS, UNBOUNDED);
        // Used by the start script to size the heap; only validated here.
        fields.object("limits").requiredAtLeast("memory_mb", 1);
        JSONObject configuredList = fields.jsonObject("known");
        Decisions.Settings decisions = decisionSettings(fields.object("settings"), fields.hexSeed("seed"));
        List<InetSocketAddress> peers = fields.addresses("peers");
        return new Settings(
                required("name", name),
                listen,
                discovery,
                fields.address("peer_listen", null),
                peers,
                fields.address("peers_all", null),
                sockets,
                configuredList,
                decisions);
    }

    private static <T> T required(String field, T value) throws ConfigException {
        if (value == null) {
            throw new ConfigException("config: " + field + " is missing");
        }
        return value;
    }

    private static Decisions.Settings decisionSettings(Fields fields, long seed) throws ConfigException {
        List<RequestClass> classes = classes(fields);
        List<Tenant> tenants = tenants(fields);
        Fields extra = fields.object("extra");
        Fields goal = fields.object("scoring_mix");
        Fields reports = fields.object("load_info");
        int balancers = fields.intInRange("siblings", 1, MAX_BALANCERS);
        int index = fields.intInRange("me", 0, balancers - 1);
        try {
            return new Decisions.Settings(
                    index,
                    balancers,
                    seed,
                    fields.string("az", ""),
                    fields.strings("failure_domains"),
                    fields.strings("skus"),
                    fields.strings("layers"),
                    fields.intInRange("layer", 0, 0, UNBOUNDED),
                    classes,
                    tenants,
                    fields.choice("membership_mode", Membership.PUSH, MEMBERSHIPS),
                    origin(extra),
                    limits(fields.object("limits")),
                    rules(fields.object("rules")),
                    prices(fields.object("prices")),
                    goal(goal),
                    reports.choice("how", Reports.NONE, REPORTS),
                    reports.strings("names"),
                    fields.choice("weights", Weights.NONE, WEIGHTS),
                    fields.string("counted_by", "request").equals("work"),
                    fields.nonNegativeDecimal("over_share_worth", 1),
                    fields.object("client_habits").bool("marks_retry"),
                    fields.nonNegativeInteger("tick", 0));
        } catch (IllegalArgumentException e) {
            throw new ConfigException("config: settings: " + e.getMessage());
        }
    }

    private static List<RequestClass> classes(Fields fields) throws ConfigException {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Fields item : fields.objects("classes")) {
            if (!names.add(item.string("name"))) {
                throw item.error("name", "repeats the name of an earlier class");
            }
            classes.add(new RequestClass(
                    item.string("name"),
                    item.nonNegativeInteger("on_time", 0),
                    item.nonNegativeDecimal("aim_stretch", 0),
                    item.requiredAtLeast("hard_limit", 1),
                    item.choice("effect", Effect.UNSAFE, EFFECTS),
                    item.choice("group", Group.CELL, GROUPS),
                    item.nonNegativeInteger("key_ttl", 0),
                    item.nonNegativeDecimal("value", 1),
                    item.nonNegativeDecimal("late_worth", 0),
                    item.bool("streamed")));
        }
        return classes;
    }

    private static List<Tenant> tenants(Fields fields) throws ConfigException {
        List<Tenant> tenants = new ArrayList<>();
        for (Fields item : fields.objects("tenants")) {
            tenants.add(new Tenant(
                    item.string("name"),
                    item.nonNegativeDecimal("share", 0),
                    item.nonNegativeDecimal("quota_per_s", 0)));
        }
        return tenants;
    }

    private static Origin origin(Fields fields) throws ConfigException {
        return new Origin(
                fields.choice("mode", Mode.THROUGH, MODES),
                fields.intInRange("origin_kind", -1, -1, UNBOUNDED),
                fields.nonNegativeDecimal("origin_fall_multiple", 0),
                fields.nonNegativeInteger("origin_fall", 0));
    }

    private static Goal goal(Fields fields) throws ConfigException {
        return new Goal(
                fields.decimal("whole", 1),
                fields.decimal("worst_window", 0),
                fields.decimal("worst_class", 0),
                fields.decimal("worst_tenant", 0));
    }

    private static Limits limits(Fields fields) throws ConfigException {
        return new Limits(
                fields.intInRange("max_attempts", 1, 1, UNBOUNDED),
                fields.intInRange("open_cap", 0, 0, UNBOUNDED),
                fields.bool("second_copies"),
                fields.bool("may_cancel"),
                fields.bool("may_probe"),
                fields.bool("may_tell"),
                fields.bool("retry_after"),
                fields.nonNegativeInteger("max_retry_after", 0),
                fields.nonNegativeInteger("connect_timeout", 0),
                fields.nonNegativeInteger("idle_close", 0),
                fields.intInRange("streams_per_conn", 1, 0, UNBOUNDED),
                fields.nonNegativeDecimal("cpu_us_per_s", 0),
                fields.nonNegativeDecimal("cpu_us_per_request", 0));
    }

    private static RuleFigures rules(Fields fields) throws ConfigException {
        return new RuleFigures(
                fields.nonNegativeInteger("answer_slack", 0),
                fields.nonNegativeInteger("drain_grace", 0),
                fields.nonNegativeInteger("ask_within", 0),
                fields.nonNegativeDecimal("start_capacity", 0),
                fields.nonNegativeInteger("cold", 0),
                fields.nonNegativeDecimal("tip_multiple", 0),
                fields.nonNegativeInteger("overload_for", 0));
    }

    private static Prices prices(Fields fields) throws ConfigException {
        return new Prices(
                fields.nonNegativeDecimal("connection", 0),
                fields.nonNegativeDecimal("cross_zone", 0),
                fields.nonNegativeDecimal("membership_mode", 0),
                fields.nonNegativeDecimal("fleet", 0),
                fields.nonNegativeDecimal("handshake", 0),
                fields.nonNegativeDecimal("late_fail", 0),
                fields.nonNegativeDecimal("moves", 0),
                fields.nonNegativeDecimal("origin", 0),
                fields.nonNegativeDecimal("peer", 0),
                fields.nonNegativeDecimal("probe", 0),
                fields.nonNegativeDecimal("waste", 0));
    }
}
