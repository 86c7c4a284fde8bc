package baymoor.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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

    private Config() { }

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
        InetSocketAddress discovery =
                needed("discovery", f.address("discovery", environment.get("ROUTER_DISCOVERY")));
        long sockets = f.object("limits").whole("sockets", USUAL_SOCKETS);
        if (sockets < FEWEST_SOCKETS) {
            throw new BadConfig("config: limits.sockets is under " + FEWEST_SOCKETS);
        }
        // The start line has sized the heap by it already; what it could not read is named here, before the listening.
        if (f.object("limits").whole("memory_mb") < 1) {
            throw new BadConfig("config: limits.memory_mb is under 1");
        }
        JSONObject known = f.json("known");
        Decisions.Settings module = module(f.object("settings"), f.seed("seed"));
        List<InetSocketAddress> peers = f.addresses("peers");
        return new Settings(needed("name", name), listen, discovery, f.address("peer_listen", null), peers,
                f.address("peers_all", null), (int) Math.min(sockets, Integer.MAX_VALUE), known, module);
    }

    private static <T> T needed(String field, T value) throws BadConfig {
        if (value == null) {
            throw new BadConfig("config: " + field + " is missing");
        }
        return value;
    }

    private static Decisions.Settings module(Fields f, long seed) throws BadConfig {
        List<RequestClass> classes = new ArrayList<>();
        for (Fields c : f.objects("classes")) {
            classes.add(new RequestClass(c.text("name"), c.whole("on_time", 0), c.real("aim_stretch", 0),
                    c.whole("hard_limit"),
                    c.choice("effect", Effect.UNSAFE,
                            Map.of("retryable", Effect.SAFE, "dedup", Effect.KEYED, "fragile", Effect.UNSAFE)),
                    c.choice("group", Group.CELL, Map.of("all", Group.ALL, "zone", Group.ZONE, "cell", Group.CELL)),
                    c.whole("key_ttl", 0), c.real("value", 1), c.real("late_worth", 0), c.flag("streamed")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Fields t : f.objects("tenants")) {
            tenants.add(new Tenant(t.text("name"), t.real("share", 0), t.real("quota_per_s", 0)));
        }
        Fields extra = f.object("extra");
        Fields goal = f.object("scoring_mix");
        Fields reports = f.object("load_info");
        try {
            return new Decisions.Settings((int) f.whole("me"), (int) f.whole("siblings"), seed, f.text("az", ""),
                    f.texts("failure_domains"), f.texts("skus"), f.texts("layers"), (int) f.whole("layer", 0), classes,
                    tenants,
                    f.choice("membership_mode", Membership.PUSH,
                            Map.of("subscribe", Membership.ASK, "automatic", Membership.PUSH)),
                    new Origin(extra.choice("mode", Mode.THROUGH, Map.of("aside", Mode.ASIDE, "through", Mode.THROUGH)),
                            (int) extra.whole("origin_kind", -1), extra.real("origin_fall_multiple", 0),
                            extra.whole("origin_fall", 0)),
                    limits(f.object("limits")), rules(f.object("rules")), prices(f.object("prices")),
                    new Goal(goal.real("whole", 1), goal.real("worst_window", 0), goal.real("worst_class", 0),
                            goal.real("worst_tenant", 0)),
                    reports.choice("how", Reports.NONE, Map.of("inline", Reports.WITH_ANSWERS, "on_probe",
                            Reports.WITH_PROBES, "off", Reports.NONE)),
                    reports.texts("names"),
                    f.choice("weights", Weights.NONE, Map.of("nominal", Weights.NOMINAL, "rough", Weights.ROUGH,
                            "live", Weights.LIVE, "off", Weights.NONE)),
                    f.text("counted_by", "request").equals("work"), f.real("over_share_worth", 1),
                    f.object("client_habits").flag("marks_retry"), f.whole("tick", 0));
        } catch (IllegalArgumentException e) {
            throw new BadConfig("config: settings: " + e.getMessage());
        }
    }

    private static Limits limits(Fields f) throws BadConfig {
        return new Limits((int) f.whole("max_attempts", 1), (int) f.whole("open_cap", 0), f.flag("second_copies"),
                f.flag("may_cancel"), f.flag("may_probe"), f.flag("may_tell"), f.flag("retry_after"),
                f.whole("max_retry_after", 0), f.whole("connect_timeout", 0), f.whole("idle_close", 0),
                (int) f.whole("streams_per_conn", 1), f.real("cpu_us_per_s", 0), f.real("cpu_us_per_request", 0));
    }

    private static RuleFigures rules(Fields f) throws BadConfig {
        return new RuleFigures(f.whole("answer_slack", 0), f.whole("drain_grace", 0), f.whole("ask_within", 0),
                f.real("start_capacity", 0), f.whole("cold", 0), f.real("tip_multiple", 0),
                f.whole("overload_for", 0));
    }

    private static Prices prices(Fields f) throws BadConfig {
        return new Prices(f.real("connection", 0), f.real("cross_zone", 0), f.real("membership_mode", 0),
                f.real("fleet", 0), f.real("handshake", 0), f.real("late_fail", 0), f.real("moves", 0),
                f.real("origin", 0), f.real("peer", 0), f.real("probe", 0), f.real("waste", 0));
    }
}
