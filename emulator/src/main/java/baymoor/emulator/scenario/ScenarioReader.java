package baymoor.emulator.scenario;

import baymoor.emulator.scenario.Scenario.AnswerFault;
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
 * Reads scenarios from TOML. Absent fields default to a site of four zones with 4 balancers, 12 routers and one slow
 * origin; {@code docs/operators/emulator.md} lists all fields.
 */
public final class ScenarioReader {

    /** Microseconds per millisecond. */
    private static final long MS = 1_000;
    /** Microseconds per second. */
    private static final long SECOND = 1_000_000;

    private static final int MAX_BALANCERS = 1_000;
    private static final int MAX_ROUTERS = 5_000;
    /** Upper bound of numbers that have no natural one. */
    private static final double UNBOUNDED = 1e9;
    /** A field whose quantity lacks its quotes, such as {@code duration = 60s}. */
    private static final Pattern UNQUOTED_QUANTITY =
            Pattern.compile("^\\s*([A-Za-z_]+)\\s*=\\s*([0-9.]+\\s*(?:us|ms|s|m|h|B|KiB|MiB|GiB|/s|%))\\s*(?:#.*)?$");

    /** Events that need no duration. */
    private static final Set<EventKind> INSTANTANEOUS =
            EnumSet.of(EventKind.RESTART_BALANCERS, EventKind.REPLACE_ROUTER, EventKind.FLUSH);

    private final List<Mistake> mistakes = new ArrayList<>();

    private ScenarioReader() {}

    /**
     * Reads a scenario file.
     *
     * @throws BadScenario if the file is unreadable or invalid
     */
    public static Scenario read(Path file) throws BadScenario {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new BadScenario(file.toString(), List.of(new Mistake(0, 0, "can't be read: " + e.getMessage())));
        }
    }

    /**
     * Parses the text of a scenario.
     *
     * @param file name of the file, for messages and as the default name of the scenario
     * @throws BadScenario if the text is invalid
     */
    public static Scenario parse(String text, String file) throws BadScenario {
        ScenarioReader reader = new ScenarioReader();
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            int line = error.position().line();
            reader.mistakes.add(
                    new Mistake(line, error.position().column(), explainSyntaxError(text, line, error.getMessage())));
        }
        Scenario scenario = null;
        if (reader.mistakes.isEmpty()) {
            scenario = reader.readScenario(new Table(parsed, "", null, reader.mistakes), baseName(file));
        }
        if (!reader.mistakes.isEmpty()) {
            throw new BadScenario(file, reader.mistakes);
        }
        return scenario;
    }

    /**
     * Parses a scenario that the program generated.
     *
     * @throws IllegalStateException if the text is invalid, which is a bug
     */
    public static Scenario own(String text, String name) {
        try {
            return parse(text, name);
        } catch (BadScenario e) {
            throw new IllegalStateException("generated scenario is invalid: " + e.getMessage(), e);
        }
    }

    /** Returns the parser's message, or for a quantity without quotes one that shows the quoted form. */
    private static String explainSyntaxError(String text, int line, String message) {
        String sourceLine = text.lines().skip(Math.max(0, line - 1)).findFirst().orElse("");
        Matcher match = UNQUOTED_QUANTITY.matcher(sourceLine);
        return match.matches()
                ? match.group(1) + " = " + match.group(2).trim() + ": a quantity must be in quotes; write "
                        + match.group(1) + " = \"" + match.group(2).trim() + "\""
                : "not TOML: " + message;
    }

    private static String baseName(String file) {
        String fileName = Path.of(file).getFileName().toString();
        return fileName.endsWith(".toml") ? fileName.substring(0, fileName.length() - ".toml".length()) : fileName;
    }

    private Scenario readScenario(Table top, String file) {
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
            top.mistake("zones", "is empty");
            zones = List.of("a");
        }
        Scenario scenario = new Scenario(
                name,
                about,
                seed,
                warmUp,
                duration,
                zones,
                readNetwork(top.table("net")),
                readBalancers(top.table("balancers")),
                readRouters(top),
                readOrigin(top.table("origin")),
                readDiscovery(top.table("discovery")),
                readTraffic(top.table("traffic"), zones.size()),
                readClasses(top),
                readTenants(top),
                readKeys(top.table("keys")),
                readFigures(top.table("rules")),
                readModuleSettings(top.table("told")),
                readScript(top, zones, warmUp + duration));
        top.end();
        return scenario;
    }

    private Net readNetwork(Table table) {
        Net net = new Net(
                table.time("same_zone", 250),
                table.times("cross_zone", new Span(5_600, 10_000)),
                table.time("client", 700),
                table.number("jitter", 0, 10, 0.2),
                table.times("datagram", new Span(MS, 20 * MS)),
                table.share("datagram_loss", 0.01),
                table.share("datagram_double", 0.005));
        table.end();
        return net;
    }

    private Balancers readBalancers(Table table) {
        int count = (int) table.whole("count", 1, 4);
        if (count > MAX_BALANCERS) {
            table.mistake("count", "is over " + MAX_BALANCERS);
        }
        Balancers balancers = new Balancers(
                count,
                table.time("start", SECOND),
                table.time("event", 30),
                (int) table.whole("sockets", 128, 1024),
                table.flag("peers", true),
                table.flag("probes", true));
        table.end();
        return balancers;
    }

    private List<RouterKind> readRouters(Table top) {
        List<RouterKind> kinds = new ArrayList<>();
        List<Table> tables = top.tables("routers");
        for (Table table : tables) {
            kinds.add(readRouterKind(table));
            table.end();
        }
        if (tables.isEmpty()) {
            kinds.add(defaultRouterKind("two-core", 7, 2, 1.5));
            kinds.add(defaultRouterKind("three-core", 5, 3, 0.95));
        }
        if (kinds.stream().mapToInt(RouterKind::count).sum() > MAX_ROUTERS) {
            top.mistake("routers", "are over " + MAX_ROUTERS);
        }
        if (kinds.stream().anyMatch(k -> k.name().equals("origin"))) {
            top.mistake("routers", "have a kind named origin, which is reserved for the origin");
        }
        return kinds;
    }

    private static RouterKind defaultRouterKind(String name, int count, int cores, double speed) {
        Table empty = new Table(Toml.parse(""), "", null, new ArrayList<>());
        return routerKind(empty, name, count, cores, speed);
    }

    private RouterKind readRouterKind(Table table) {
        return routerKind(
                table,
                table.text("kind", null),
                (int) table.whole("count", 0, 1),
                (int) table.whole("cores", 1, 2),
                table.number("speed", 0.01, 100, 1));
    }

    private static RouterKind routerKind(Table table, String name, int count, int cores, double speed) {
        return new RouterKind(
                name == null ? "" : name,
                count,
                cores,
                speed,
                table.share("speed_spread", 0.1),
                (int) table.whole("slots", 1, 4),
                (int) table.whole("room", 0, 20),
                table.share("thrash", 0),
                table.number("crowd", 1, 1000, 6),
                table.size("memory", 16L << 20),
                table.time("ttl", 0),
                table.share("cold_share", 0.2),
                table.times("cold", new Span(11 * SECOND, 23 * SECOND)),
                table.flag("warms_by_work", false),
                (int) table.whole("connections", 1, 1500),
                table.time("handshake", 3 * MS),
                table.time("idle_close", 30 * SECOND),
                table.time("miss", MS),
                table.share("errors", 0.001),
                table.word("expired", Expired.class, Expired.EITHER),
                table.times("pause", new Span(0, 60 * MS)),
                table.times("pause_every", new Span(5 * SECOND, 12 * SECOND)));
    }

    private Origin readOrigin(Table table) {
        Origin origin = new Origin(
                table.rate("capacity", 40),
                (int) table.whole("slots", 1, 6),
                (int) table.whole("room", 0, 60),
                table.number("sigma", 0, 3, 0.4),
                table.share("errors", 0.001),
                table.number("fall_multiple", 1, 1000, 2.5),
                table.time("fall", 3 * SECOND),
                table.times("down", new Span(3 * SECOND, 6 * SECOND)),
                (int) table.whole("most_falls", 0, 2));
        if (origin.capacity() <= 0) {
            table.mistake("capacity", "is 0");
        }
        table.end();
        return origin;
    }

    private Discovery readDiscovery(Table table) {
        Discovery discovery = new Discovery(
                table.flag("pushed", false),
                table.times("notice", new Span(SECOND, 3_800 * MS)),
                table.times("silent", new Span(4_500 * MS, 12 * SECOND)),
                table.times("add", new Span(300 * MS, 2 * SECOND)),
                table.times("spread", new Span(25 * MS, 1_300 * MS)),
                table.time("call", 20 * MS),
                table.time("line", MS),
                table.time("patience", 2 * SECOND),
                table.time("failed", 0),
                table.flag("at_once", false),
                table.flag("starts_as_held", false),
                table.flag("busy_when_down", false));
        table.end();
        return discovery;
    }

    private Traffic readTraffic(Table table, int zoneCount) {
        List<Double> evenShares = new ArrayList<>();
        for (int i = 0; i < zoneCount; i++) {
            evenShares.add(1.0 / zoneCount);
        }
        List<Double> shares = table.shares("zone_shares", evenShares);
        if (shares.size() != zoneCount) {
            table.mistake("zone_shares", "has " + shares.size() + " shares for " + zoneCount + " zones");
            shares = evenShares;
        }
        Traffic traffic = new Traffic(
                table.rate("rate", 170),
                shares,
                table.share("wave", 0.2),
                table.time("wave_period", 20 * SECOND),
                table.share("retry", 0.5),
                table.times("backoff", new Span(30 * MS, 240 * MS)),
                table.share("honour", 0.9),
                table.share("least_try", 0.7),
                table.share("most_try", 1),
                table.share("impatient", 0.02),
                table.times("front_notice", new Span(950 * MS, 3_300 * MS)));
        if (traffic.rate() <= 0) {
            table.mistake("rate", "is 0");
        }
        table.end();
        return traffic;
    }

    private List<RequestClass> readClasses(Table top) {
        List<RequestClass> classes = new ArrayList<>();
        List<Table> tables = top.tables("classes");
        for (Table table : tables) {
            Effect effect = table.word("effect", Effect.class, Effect.SAFE);
            RequestClass requestClass = new RequestClass(
                    table.text("name", null),
                    table.share("share", 1),
                    effect,
                    table.flag("write", effect != Effect.SAFE),
                    table.times("work", new Span(97 * MS, 170 * MS)),
                    table.time("aim"),
                    table.time("give_up"),
                    table.time("window", 0),
                    table.number("worth", 0, 1000, 1));
            if (effect == Effect.KEYED && requestClass.windowMicros() == 0) {
                table.mistake("window", "is missing: a keyed class needs a time for which its keys are remembered");
            }
            if (requestClass.giveUpMicros() < requestClass.aimMicros()) {
                table.mistake("give_up", "is before aim");
            }
            classes.add(requestClass);
            table.end();
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
        checkShareSum(
                top,
                "classes",
                classes.stream().mapToDouble(RequestClass::share).sum());
        return classes;
    }

    private List<Tenant> readTenants(Table top) {
        List<Tenant> tenants = new ArrayList<>();
        for (Table table : top.tables("tenants")) {
            tenants.add(new Tenant(table.text("name", null), table.share("share", 1)));
            table.end();
        }
        if (tenants.isEmpty()) {
            tenants.add(new Tenant("fraser-surveyors", 0.7));
            tenants.add(new Tenant("coastline-notaries", 0.3));
        }
        checkShareSum(
                top, "tenants", tenants.stream().mapToDouble(Tenant::share).sum());
        return tenants;
    }

    private static void checkShareSum(Table top, String field, double sum) {
        if (Math.abs(sum - 1) > 0.001) {
            top.mistake(field, "have shares that sum to " + Math.round(sum * 1000) / 10.0 + "% instead of 100%");
        }
    }

    private Keys readKeys(Table table) {
        Keys keys = new Keys(
                (int) table.whole("count", 1, 8_000),
                table.number("exponent", 0.01, 5, 0.95),
                table.share("drift", 0.0005),
                table.rate("changes", 0),
                table.size("size", 4 << 10),
                table.number("size_sigma", 0, 3, 0.5),
                table.flag("prefill", true));
        table.end();
        return keys;
    }

    private Figures readFigures(Table table) {
        Figures figures = new Figures(
                (int) table.whole("max_attempts", 1, 5),
                table.time("connect", 250 * MS),
                table.time("answer_slack", 20 * MS),
                table.time("drain_grace", 500 * MS),
                table.time("ask_within", 10 * SECOND),
                table.number("tip_multiple", 1, UNBOUNDED, 3),
                table.time("tip", 3 * SECOND),
                table.time("max_retry_after", 2 * SECOND),
                table.flag("retry_after", true),
                table.flag("may_cancel", true),
                table.word("reports", Scenario.Reports.class, Scenario.Reports.OFF));
        table.end();
        return figures;
    }

    private ModuleSettings readModuleSettings(Table table) {
        ModuleSettings settings = new ModuleSettings(
                table.flag("work", true),
                table.flag("sizes", true),
                table.flag("retries", true),
                table.flag("by_work", true),
                table.share("over_share", 0.1),
                table.time("cpu", 400 * MS),
                table.number("cpu_per_request", 0, UNBOUNDED, 0),
                (int) table.whole("streams", 1, 32));
        table.end();
        return settings;
    }

    private List<ScriptedEvent> readScript(Table top, List<String> zones, long endMicros) {
        List<ScriptedEvent> events = new ArrayList<>();
        for (Table table : top.tables("script")) {
            EventKind kind = table.word("do", EventKind.class, null);
            long startMicros = table.time("at");
            if (startMicros > endMicros) {
                table.mistake("at", "is after the end");
            }
            boolean hasDuration = kind == null || !INSTANTANEOUS.contains(kind);
            long durationMicros = hasDuration ? table.time("for") : table.time("for", 0);
            String zone = table.text("zone", "");
            if (!zone.isEmpty() && !zones.contains(zone)) {
                table.mistake("zone", "= \"" + zone + "\" is none of " + String.join(", ", zones));
            }
            if (kind == EventKind.CUT && zone.isEmpty()) {
                table.mistake("zone", "is missing: name the zone to cut off from the others");
            }
            double factor = table.number("factor", 0, 1000, 2);
            if ((kind == EventKind.SURGE
                            || kind == EventKind.SLOW_ORIGIN
                            || kind == EventKind.SLOW_ROUTER
                            || kind == EventKind.DISCOVERY_SLOW)
                    && !table.has("factor")) {
                table.mistake("factor", "is missing: state the multiple of the load or of the service time");
            }
            AnswerFault spoil = table.word("spoil", AnswerFault.class, AnswerFault.GARBLE);
            events.add(new ScriptedEvent(
                    kind,
                    startMicros,
                    durationMicros,
                    factor,
                    table.share("share", kind == EventKind.SCAN || kind == EventKind.HOT_KEY ? 0.1 : 1),
                    (int) table.whole("count", 1, 1),
                    zone,
                    table.time("within", 0),
                    table.share("at_once", 0.25),
                    spoil,
                    table.flag("planned", true),
                    table.line()));
            table.end();
        }
        events.sort(java.util.Comparator.comparingLong(ScriptedEvent::atMicros));
        return events;
    }
}
