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

/** Turns the environment and the configuration file into {@link Settings}. */
public final class Config {

    private static final int USUAL_SOCKETS = 1024;
    private static final int FEWEST_SOCKETS = 128;
    /** Tables are as long as the fleet: far more than any has, and few enough to hold. */
    private static final int MOST_BALANCERS = 10_000;

    private static final int MOST = Integer.MAX_VALUE;

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

    /** The file that {@code ROUTER_CONFIG} names, if it names one. */
    public static Optional<Path> file(Map<String, String> environment) {
        try {
            return Optional.ofNullable(environment.get("ROUTER_CONFIG")).map(Path::of);
        } catch (InvalidPathException e) {
            return Optional.empty(); // reading it says so
        }
    }

    /** Reads the file that {@code ROUTER_CONFIG} names; the other variables fill in what it leaves out. */
    public static Settings read(Map<String, String> environment) throws BadConfig {
        String file = environment.get("ROUTER_CONFIG");
        if (file == null) {
            throw new BadConfig("config: ROUTER_CONFIG is not set");
        }
        try {
            return parse(Files.readString(Path.of(file)), environment);
        } catch (IOException | InvalidPathException e) {
            throw new BadConfig("config: ROUTER_CONFIG can't be read: " + file);
        }
    }

    /** Reads the text of a configuration. */
    public static Settings parse(String text, Map<String, String> environment) throws BadConfig {
        Fields f;
        try {
            f = new Fields("", new JSONObject(text));
        } catch (JSONException e) {
            throw new BadConfig("config: not JSON: " + e.getMessage().replace('\n', ' '));
        }
        String name = f.text("name", environment.get("ROUTER_NAME"));
        InetSocketAddress listen = needed("listen", f.address("listen", environment.get("ROUTER_LISTEN")));
        InetSocketAddress discovery = needed("discovery", f.address("discovery", environment.get("ROUTER_DISCOVERY")));
        int sockets = f.object("limits").count("sockets", USUAL_SOCKETS, FEWEST_SOCKETS, MOST);
        // The start line has sized the heap by it already; what it could not read is named here, before the listening.
        f.object("limits").atLeast("memory_mb", 1);
        JSONObject known = f.json("known");
        Decisions.Settings module = module(f.object("settings"), f.seed("seed"));
        List<InetSocketAddress> peers = f.addresses("peers");
        return new Settings(
                needed("name", name),
                listen,
                discovery,
                f.address("peer_listen", null),
                peers,
                f.address("peers_all", null),
                sockets,
                known,
                module);
    }

    private static <T> T needed(String field, T value) throws BadConfig {
        if (value == null) {
            throw new BadConfig("config: " + field + " is missing");
        }
        return value;
    }

    private static Decisions.Settings module(Fields f, long seed) throws BadConfig {
        List<RequestClass> classes = classes(f);
        List<Tenant> tenants = tenants(f);
        Fields extra = f.object("extra");
        Fields goal = f.object("scoring_mix");
        Fields reports = f.object("load_info");
        int siblings = f.count("siblings", 1, MOST_BALANCERS);
        int me = f.count("me", 0, siblings - 1);
        try {
            return new Decisions.Settings(
                    me,
                    siblings,
                    seed,
                    f.text("az", ""),
                    f.texts("failure_domains"),
                    f.texts("skus"),
                    f.texts("layers"),
                    f.count("layer", 0, 0, MOST),
                    classes,
                    tenants,
                    f.choice("membership_mode", Membership.PUSH, MEMBERSHIPS),
                    origin(extra),
                    limits(f.object("limits")),
                    rules(f.object("rules")),
                    prices(f.object("prices")),
                    goal(goal),
                    reports.choice("how", Reports.NONE, REPORTS),
                    reports.texts("names"),
                    f.choice("weights", Weights.NONE, WEIGHTS),
                    f.text("counted_by", "request").equals("work"),
                    f.amount("over_share_worth", 1),
                    f.object("client_habits").flag("marks_retry"),
                    f.span("tick", 0));
        } catch (IllegalArgumentException e) {
            throw new BadConfig("config: settings: " + e.getMessage());
        }
    }

    private static List<RequestClass> classes(Fields f) throws BadConfig {
        List<RequestClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Fields c : f.objects("classes")) {
            if (!names.add(c.text("name"))) {
                throw c.bad("name", "names a class that there is already");
            }
            classes.add(new RequestClass(
                    c.text("name"),
                    c.span("on_time", 0),
                    c.amount("aim_stretch", 0),
                    c.atLeast("hard_limit", 1),
                    c.choice("effect", Effect.UNSAFE, EFFECTS),
                    c.choice("group", Group.CELL, GROUPS),
                    c.span("key_ttl", 0),
                    c.amount("value", 1),
                    c.amount("late_worth", 0),
                    c.flag("streamed")));
        }
        return classes;
    }

    private static List<Tenant> tenants(Fields f) throws BadConfig {
        List<Tenant> tenants = new ArrayList<>();
        for (Fields t : f.objects("tenants")) {
            tenants.add(new Tenant(t.text("name"), t.amount("share", 0), t.amount("quota_per_s", 0)));
        }
        return tenants;
    }

    private static Origin origin(Fields f) throws BadConfig {
        return new Origin(
                f.choice("mode", Mode.THROUGH, MODES),
                f.count("origin_kind", -1, -1, MOST),
                f.amount("origin_fall_multiple", 0),
                f.span("origin_fall", 0));
    }

    private static Goal goal(Fields f) throws BadConfig {
        return new Goal(
                f.real("whole", 1), f.real("worst_window", 0), f.real("worst_class", 0), f.real("worst_tenant", 0));
    }

    private static Limits limits(Fields f) throws BadConfig {
        return new Limits(
                f.count("max_attempts", 1, 1, MOST),
                f.count("open_cap", 0, 0, MOST),
                f.flag("second_copies"),
                f.flag("may_cancel"),
                f.flag("may_probe"),
                f.flag("may_tell"),
                f.flag("retry_after"),
                f.span("max_retry_after", 0),
                f.span("connect_timeout", 0),
                f.span("idle_close", 0),
                f.count("streams_per_conn", 1, 0, MOST),
                f.amount("cpu_us_per_s", 0),
                f.amount("cpu_us_per_request", 0));
    }

    private static RuleFigures rules(Fields f) throws BadConfig {
        return new RuleFigures(
                f.span("answer_slack", 0),
                f.span("drain_grace", 0),
                f.span("ask_within", 0),
                f.amount("start_capacity", 0),
                f.span("cold", 0),
                f.amount("tip_multiple", 0),
                f.span("overload_for", 0));
    }

    private static Prices prices(Fields f) throws BadConfig {
        return new Prices(
                f.amount("connection", 0),
                f.amount("cross_zone", 0),
                f.amount("membership_mode", 0),
                f.amount("fleet", 0),
                f.amount("handshake", 0),
                f.amount("late_fail", 0),
                f.amount("moves", 0),
                f.amount("origin", 0),
                f.amount("peer", 0),
                f.amount("probe", 0),
                f.amount("waste", 0));
    }
}
