package baymoor.emulator.scenario;

import baymoor.emulator.scenario.Scenario.Balancers;
import baymoor.emulator.scenario.Scenario.Discovery;
import baymoor.emulator.scenario.Scenario.Effect;
import baymoor.emulator.scenario.Scenario.EventKind;
import baymoor.emulator.scenario.Scenario.Expired;
import baymoor.emulator.scenario.Scenario.Figures;
import baymoor.emulator.scenario.Scenario.Keys;
import baymoor.emulator.scenario.Scenario.ModuleSettings;
import baymoor.emulator.scenario.Scenario.Net;
import baymoor.emulator.scenario.Scenario.Origin;
import baymoor.emulator.scenario.Scenario.RequestClass;
import baymoor.emulator.scenario.Scenario.RouterKind;
import baymoor.emulator.scenario.Scenario.ScriptedEvent;
import baymoor.emulator.scenario.Scenario.Spoil;
import baymoor.emulator.scenario.Scenario.Tenant;
import baymoor.emulator.scenario.Scenario.Traffic;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/**
 * Reads a scenario from TOML. What a file leaves out is as at a site of four data centres with 4 balancers, 12 routers
 * and one slow origin; {@code docs/operators/emulator.md} has the table of all fields.
 */
public final class ScenarioReader {

    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final int MOST_BALANCERS = 1_000;
    private static final int MOST_ROUTERS = 5_000;
    private static final double MANY = 1e9;
    private static final Pattern BARE_UNIT =
            Pattern.compile("^\\s*([A-Za-z_]+)\\s*=\\s*([0-9.]+\\s*(?:us|ms|s|m|h|B|KiB|MiB|GiB|/s|%))\\s*(?:#.*)?$");

    /** Acts without a time of their own to last: they happen at once, or bring their own times. */
    private static final Set<EventKind> AT_ONCE =
            EnumSet.of(EventKind.RESTART_BALANCERS, EventKind.REPLACE_ROUTER, EventKind.FLUSH);

    private final List<Mistake> mistakes = new ArrayList<>();

    private ScenarioReader() {}

    /** Reads a scenario file. */
    public static Scenario read(Path file) throws BadScenario {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new BadScenario(file.toString(), List.of(new Mistake(0, 0, "can't be read: " + e.getMessage())));
        }
    }

    /** @param file its name, for messages */
    public static Scenario parse(String text, String file) throws BadScenario {
        ScenarioReader reader = new ScenarioReader();
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            int line = error.position().line();
            reader.mistakes.add(
                    new Mistake(line, error.position().column(), explained(text, line, error.getMessage())));
        }
        Scenario scenario = null;
        if (reader.mistakes.isEmpty()) {
            scenario = reader.scenario(new Table(parsed, "", null, reader.mistakes), name(file));
        }
        if (!reader.mistakes.isEmpty()) {
            throw new BadScenario(file, reader.mistakes);
        }
        return scenario;
    }

    /** A scenario that the program itself has written, where a mistake is the program's. */
    public static Scenario own(String text, String name) {
        try {
            return parse(text, name);
        } catch (BadScenario e) {
            throw new IllegalStateException("a scenario of our own making is bad: " + e.getMessage(), e);
        }
    }

    /** What the parser says of a quantity without quotes is true but tells nobody what to write. */
    private static String explained(String text, int line, String message) {
        String at = text.lines().skip(Math.max(0, line - 1)).findFirst().orElse("");
        Matcher bare = BARE_UNIT.matcher(at);
        return bare.matches()
                ? bare.group(1) + " = " + bare.group(2).trim() + ": a quantity stands in quotes; write " + bare.group(1)
                        + " = \"" + bare.group(2).trim() + "\""
                : "not TOML: " + message;
    }

    private static String name(String file) {
        String last = Path.of(file).getFileName().toString();
        return last.endsWith(".toml") ? last.substring(0, last.length() - ".toml".length()) : last;
    }

    private Scenario scenario(Table top, String file) {
        String name = top.text("name", file);
        String about = top.text("about", "");
        long seed = top.whole("seed", 0, 1);
        long warmUp = top.time("warm_up", 10 * SECOND);
        long duration = top.time("duration", 60 * SECOND);
        if (duration < SECOND) {
            top.mistake("duration", "is under a second");
        }
        List<String> zones = top.texts("zones", List.of("vancouver", "kamloops", "kelowna", "prince-george"));
        if (zones.isEmpty()) {
            top.mistake("zones", "names no zone");
            zones = List.of("a");
        }
        Scenario scenario = new Scenario(
                name,
                about,
                seed,
                warmUp,
                duration,
                zones,
                net(top.table("net")),
                balancers(top.table("balancers")),
                routers(top),
                origin(top.table("origin")),
                discovery(top.table("discovery")),
                traffic(top.table("traffic"), zones.size()),
                classes(top),
                tenants(top),
                keys(top.table("keys")),
                figures(top.table("rules")),
                moduleSettings(top.table("told")),
                script(top, zones, warmUp + duration));
        top.end();
        return scenario;
    }

    private Net net(Table t) {
        Net net = new Net(
                t.time("same_zone", 250),
                t.times("cross_zone", new Span(5_600, 10_000)),
                t.time("client", 700),
                t.number("jitter", 0, 10, 0.2),
                t.times("datagram", new Span(MS, 20 * MS)),
                t.share("datagram_loss", 0.01),
                t.share("datagram_double", 0.005));
        t.end();
        return net;
    }

    private Balancers balancers(Table t) {
        int count = (int) t.whole("count", 1, 4);
        if (count > MOST_BALANCERS) {
            t.mistake("count", "is over " + MOST_BALANCERS);
        }
        Balancers balancers = new Balancers(
                count,
                t.time("start", SECOND),
                t.time("event", 30),
                (int) t.whole("sockets", 128, 1024),
                t.flag("peers", true),
                t.flag("probes", true));
        t.end();
        return balancers;
    }

    private List<RouterKind> routers(Table top) {
        List<RouterKind> kinds = new ArrayList<>();
        List<Table> tables = top.tables("routers");
        for (Table t : tables) {
            kinds.add(kind(t));
            t.end();
        }
        if (tables.isEmpty()) {
            kinds.add(usual("two-core", 7, 2, 1.5));
            kinds.add(usual("three-core", 5, 3, 0.95));
        }
        if (kinds.stream().mapToInt(RouterKind::count).sum() > MOST_ROUTERS) {
            top.mistake("routers", "are over " + MOST_ROUTERS);
        }
        if (kinds.stream().anyMatch(k -> k.name().equals("origin"))) {
            top.mistake("routers", "have a kind named origin, which is the origin's");
        }
        return kinds;
    }

    private static RouterKind usual(String name, int count, int cores, double speed) {
        Table empty = new Table(Toml.parse(""), "", null, new ArrayList<>());
        return kindOf(empty, name, count, cores, speed);
    }

    private RouterKind kind(Table t) {
        return kindOf(
                t,
                t.text("kind", null),
                (int) t.whole("count", 0, 1),
                (int) t.whole("cores", 1, 2),
                t.number("speed", 0.01, 100, 1));
    }

    private static RouterKind kindOf(Table t, String name, int count, int cores, double speed) {
        return new RouterKind(
                name == null ? "" : name,
                count,
                cores,
                speed,
                t.share("speed_spread", 0.1),
                (int) t.whole("slots", 1, 4),
                (int) t.whole("room", 0, 20),
                t.share("thrash", 0),
                t.number("crowd", 1, 1000, 6),
                t.size("memory", 16L << 20),
                t.time("ttl", 0),
                t.share("cold_share", 0.2),
                t.times("cold", new Span(11 * SECOND, 23 * SECOND)),
                t.flag("warms_by_work", false),
                (int) t.whole("connections", 1, 1500),
                t.time("handshake", 3 * MS),
                t.time("idle_close", 30 * SECOND),
                t.time("miss", MS),
                t.share("errors", 0.001),
                t.word("expired", Expired.class, Expired.EITHER),
                t.times("pause", new Span(0, 60 * MS)),
                t.times("pause_every", new Span(5 * SECOND, 12 * SECOND)));
    }

    private Origin origin(Table t) {
        Origin origin = new Origin(
                t.rate("capacity", 40),
                (int) t.whole("slots", 1, 6),
                (int) t.whole("room", 0, 60),
                t.number("sigma", 0, 3, 0.4),
                t.share("errors", 0.001),
                t.number("fall_multiple", 1, 1000, 2.5),
                t.time("fall", 3 * SECOND),
                t.times("down", new Span(3 * SECOND, 6 * SECOND)),
                (int) t.whole("most_falls", 0, 2));
        if (origin.capacity() <= 0) {
            t.mistake("capacity", "is 0");
        }
        t.end();
        return origin;
    }

    private Discovery discovery(Table t) {
        Discovery discovery = new Discovery(
                t.flag("pushed", false),
                t.times("notice", new Span(SECOND, 3_800 * MS)),
                t.times("silent", new Span(4_500 * MS, 12 * SECOND)),
                t.times("add", new Span(300 * MS, 2 * SECOND)),
                t.times("spread", new Span(25 * MS, 1_300 * MS)),
                t.time("call", 20 * MS),
                t.time("line", MS),
                t.time("patience", 2 * SECOND),
                t.time("failed", 0),
                t.flag("at_once", false),
                t.flag("starts_as_held", false),
                t.flag("busy_when_down", false));
        t.end();
        return discovery;
    }

    private Traffic traffic(Table t, int zones) {
        List<Double> even = new ArrayList<>();
        for (int i = 0; i < zones; i++) {
            even.add(1.0 / zones);
        }
        List<Double> shares = t.shares("zone_shares", even);
        if (shares.size() != zones) {
            t.mistake("zone_shares", "has " + shares.size() + " shares for " + zones + " zones");
            shares = even;
        }
        Traffic traffic = new Traffic(
                t.rate("rate", 170),
                shares,
                t.share("wave", 0.2),
                t.time("wave_period", 20 * SECOND),
                t.share("retry", 0.5),
                t.times("backoff", new Span(30 * MS, 240 * MS)),
                t.share("honour", 0.9),
                t.share("least_try", 0.7),
                t.share("most_try", 1),
                t.share("impatient", 0.02),
                t.times("front_notice", new Span(950 * MS, 3_300 * MS)));
        if (traffic.rate() <= 0) {
            t.mistake("rate", "is 0");
        }
        t.end();
        return traffic;
    }

    private List<RequestClass> classes(Table top) {
        List<RequestClass> classes = new ArrayList<>();
        List<Table> tables = top.tables("classes");
        for (Table t : tables) {
            Effect effect = t.word("effect", Effect.class, Effect.SAFE);
            RequestClass c = new RequestClass(
                    t.text("name", null),
                    t.share("share", 1),
                    effect,
                    t.flag("write", effect != Effect.SAFE),
                    t.times("work", new Span(97 * MS, 170 * MS)),
                    t.time("aim"),
                    t.time("give_up"),
                    t.time("window", 0),
                    t.number("worth", 0, 1000, 1));
            if (effect == Effect.KEYED && c.windowMicros() == 0) {
                t.mistake("window", "is missing: a keyed class has a time in which a repeat is dropped");
            }
            if (c.giveUpMicros() < c.aimMicros()) {
                t.mistake("give_up", "is before aim");
            }
            classes.add(c);
            t.end();
        }
        if (tables.isEmpty()) {
            classes.add(new RequestClass(
                    "map-read", 0.969, Effect.SAFE, false, new Span(97 * MS, 170 * MS), 800 * MS, 1_500 * MS, 0, 1));
            classes.add(new RequestClass(
                    "search-order",
                    0.019,
                    Effect.UNSAFE,
                    true,
                    new Span(100 * MS, 190 * MS),
                    750 * MS,
                    1_500 * MS,
                    0,
                    2));
            classes.add(new RequestClass(
                    "parcel-watch",
                    0.012,
                    Effect.KEYED,
                    true,
                    new Span(130 * MS, 240 * MS),
                    1_200 * MS,
                    5 * SECOND,
                    25 * SECOND,
                    2));
        }
        sum(top, "classes", classes.stream().mapToDouble(RequestClass::share).sum());
        return classes;
    }

    private List<Tenant> tenants(Table top) {
        List<Tenant> tenants = new ArrayList<>();
        for (Table t : top.tables("tenants")) {
            tenants.add(new Tenant(t.text("name", null), t.share("share", 1)));
            t.end();
        }
        if (tenants.isEmpty()) {
            tenants.add(new Tenant("fraser-surveyors", 0.7));
            tenants.add(new Tenant("coastline-notaries", 0.3));
        }
        sum(top, "tenants", tenants.stream().mapToDouble(Tenant::share).sum());
        return tenants;
    }

    private static void sum(Table top, String field, double sum) {
        if (Math.abs(sum - 1) > 0.001) {
            top.mistake(field, "have shares that make " + Math.round(sum * 1000) / 10.0 + "% instead of 100%");
        }
    }

    private Keys keys(Table t) {
        Keys keys = new Keys(
                (int) t.whole("count", 1, 8_000),
                t.number("exponent", 0.01, 5, 0.95),
                t.share("drift", 0.0005),
                t.rate("changes", 0),
                t.size("size", 4 << 10),
                t.number("size_sigma", 0, 3, 0.5),
                t.flag("prefill", true));
        t.end();
        return keys;
    }

    private Figures figures(Table t) {
        Figures figures = new Figures(
                (int) t.whole("max_attempts", 1, 5),
                t.time("connect", 250 * MS),
                t.time("answer_slack", 20 * MS),
                t.time("drain_grace", 500 * MS),
                t.time("ask_within", 10 * SECOND),
                t.number("tip_multiple", 1, MANY, 3),
                t.time("tip", 3 * SECOND),
                t.time("max_retry_after", 2 * SECOND),
                t.flag("retry_after", true),
                t.flag("may_cancel", true),
                t.word("reports", Scenario.Reports.class, Scenario.Reports.OFF));
        t.end();
        return figures;
    }

    private ModuleSettings moduleSettings(Table t) {
        ModuleSettings settings = new ModuleSettings(
                t.flag("work", true),
                t.flag("sizes", true),
                t.flag("retries", true),
                t.flag("by_work", true),
                t.share("over_share", 0.1),
                t.time("cpu", 400 * MS),
                t.number("cpu_per_request", 0, MANY, 0),
                (int) t.whole("streams", 1, 32));
        t.end();
        return settings;
    }

    private List<ScriptedEvent> script(Table top, List<String> zones, long end) {
        List<ScriptedEvent> events = new ArrayList<>();
        for (Table t : top.tables("script")) {
            EventKind what = t.word("do", EventKind.class, null);
            long at = t.time("at");
            if (at > end) {
                t.mistake("at", "is after the end");
            }
            boolean lasts = what == null || !AT_ONCE.contains(what);
            long lasting = lasts ? t.time("for") : t.time("for", 0);
            String zone = t.text("zone", "");
            if (!zone.isEmpty() && !zones.contains(zone)) {
                t.mistake("zone", "= \"" + zone + "\" is none of " + String.join(", ", zones));
            }
            if (what == EventKind.CUT && zone.isEmpty()) {
                t.mistake("zone", "is missing: it is the zone that is cut off from the others");
            }
            double factor = t.number("factor", 0, 1000, 2);
            if ((what == EventKind.SURGE
                            || what == EventKind.SLOW_ORIGIN
                            || what == EventKind.SLOW_ROUTER
                            || what == EventKind.DISCOVERY_SLOW)
                    && !t.has("factor")) {
                t.mistake("factor", "is missing: how many times more, or slower");
            }
            Spoil spoil = t.word("spoil", Spoil.class, Spoil.GARBLE);
            events.add(new ScriptedEvent(
                    what,
                    at,
                    lasting,
                    factor,
                    t.share("share", what == EventKind.SCAN || what == EventKind.HOT_KEY ? 0.1 : 1),
                    (int) t.whole("count", 1, 1),
                    zone,
                    t.time("within", 0),
                    t.share("at_once", 0.25),
                    spoil,
                    t.flag("planned", true),
                    t.line()));
            t.end();
        }
        events.sort(java.util.Comparator.comparingLong(ScriptedEvent::atMicros));
        return events;
    }
}
