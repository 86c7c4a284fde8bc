package baymoor.scale.plan;

import baymoor.emulator.scenario.Mistake;
import baymoor.emulator.scenario.Span;
import baymoor.emulator.scenario.Table;
import baymoor.scale.plan.ScalePlan.Act;
import baymoor.scale.plan.ScalePlan.What;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Reads a plan from TOML; {@code docs/operators/scale-run.md} has the table of all fields. */
public final class ScalePlanReader {

    private static final long MS = 1_000;
    private static final long SECOND = 1_000_000;
    /** More would need more than half of this machine's memory. */
    public static final int MOST_BALANCERS = 1_000;

    /** A process each, with some 100 MB. */
    public static final int MOST_REAL = 32;

    /** A run of ten minutes then takes more than three hours. */
    public static final int MOST_SLOWDOWN = 20;

    private static final int MOST_ROUTERS = 400;
    private static final int MOST_SITES = 500;
    private static final long LONGEST_MICROS = 600 * SECOND;
    private static final double MOST_EXPONENT = 5;

    private final List<Mistake> mistakes = new ArrayList<>();

    private ScalePlanReader() {}

    /** Reads a file. */
    public static ScalePlan read(Path file) throws BadPlan {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new BadPlan(file.toString(), List.of(new Mistake(0, 0, "can't be read: " + e.getMessage())));
        }
    }

    /** @param file its name, for messages */
    public static ScalePlan parse(String text, String file) throws BadPlan {
        ScalePlanReader reader = new ScalePlanReader();
        TomlParseResult parsed = Toml.parse(text);
        for (TomlParseError error : parsed.errors()) {
            reader.mistakes.add(
                    new Mistake(error.position().line(), error.position().column(), "not TOML: " + error.getMessage()));
        }
        ScalePlan plan = null;
        if (reader.mistakes.isEmpty()) {
            plan = reader.plan(new Table(parsed, "", null, reader.mistakes), file);
        }
        if (!reader.mistakes.isEmpty()) {
            throw new BadPlan(file, reader.mistakes);
        }
        return plan;
    }

    private ScalePlan plan(Table top, String file) {
        String name = top.text("name", Path.of(file).getFileName().toString().replaceAll("\\.toml$", ""));
        top.text("about", "");
        long seed = top.whole("seed", 0, 1);
        int slowdown = (int) top.whole("slowdown", 1, 1);
        long warmUp = top.time("warm_up", 5 * SECOND);
        long duration = top.time("duration", 20 * SECOND);
        if (duration < SECOND || warmUp + duration > LONGEST_MICROS) {
            top.mistake("duration", "is under a second, or with warm_up over ten minutes");
        }
        Places places = places(top);
        ScalePlan plan = new ScalePlan(
                name,
                seed,
                slowdown,
                warmUp,
                duration,
                places,
                balancers(top.table("balancers")),
                network(top.table("network")),
                routers(top.table("routers")),
                origin(top.table("origin")),
                traffic(top.table("traffic")),
                changes(top.table("changes")),
                discovery(top.table("discovery")),
                script(top, places, duration));
        if (slowdown > MOST_SLOWDOWN) {
            top.mistake("slowdown", "is over " + MOST_SLOWDOWN);
        }
        if (slowdown > 1 && plan.balancers().real() > 0) {
            top.mistake("slowdown", "is over 1, but real balancers' clocks can't be slowed down");
        }
        top.end();
        return plan;
    }

    private Places places(Table top) {
        List<String> regions = top.texts("regions", List.of("region"));
        if (new HashSet<>(regions).size() < regions.size()) {
            top.mistake("regions", "names a region twice");
        }
        List<Places.Zone> zones = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (Table t : top.tables("zones")) {
            String zone = t.text("name", null);
            if (zone != null && !names.add(zone)) {
                t.mistake("name", "= \"" + zone + "\" is a zone already");
            }
            String region = t.text("region", regions.isEmpty() ? "" : regions.get(0));
            if (!regions.contains(region)) {
                t.mistake("region", "= \"" + region + "\" is none of " + String.join(", ", regions));
            }
            zones.add(new Places.Zone(
                    zone == null ? "" : zone, Math.max(0, regions.indexOf(region)), (int) t.whole("sites", 1, 1)));
            t.end();
        }
        if (zones.isEmpty()) {
            zones.add(new Places.Zone("zone", 0, 1));
        }
        Places places = new Places(regions, zones);
        if (places.siteCount() > MOST_SITES) {
            top.mistake("zones", "have over " + MOST_SITES + " sites");
        }
        return places;
    }

    private ScalePlan.Balancers balancers(Table t) {
        int hollow = (int) t.whole("hollow", 0, 0);
        int real = (int) t.whole("real", 0, 0);
        if (hollow < 1) {
            t.mistake("hollow", "is 0: without hollow balancers nobody hears what the real ones say");
        }
        if (hollow + real > MOST_BALANCERS) {
            t.mistake("hollow", "and real make over " + MOST_BALANCERS);
        }
        if (real > MOST_REAL) {
            t.mistake("real", "is over " + MOST_REAL);
        }
        ScalePlan.Balancers balancers = new ScalePlan.Balancers(hollow, real, t.time("cpu", 400 * MS));
        t.end();
        return balancers;
    }

    private ScalePlan.Network network(Table t) {
        ScalePlan.Network network = new ScalePlan.Network(
                t.times("same_site", Span.of(0)),
                t.times("same_zone", Span.of(0)),
                t.times("same_region", Span.of(0)),
                t.times("between_regions", Span.of(0)),
                t.share("loss", 0));
        t.end();
        return network;
    }

    private ScalePlan.Routers routers(Table t) {
        int count = (int) t.whole("count", 1, 12);
        if (count > MOST_ROUTERS) {
            t.mistake("count", "is over " + MOST_ROUTERS);
        }
        ScalePlan.Routers routers =
                new ScalePlan.Routers(count, t.times("latency", new Span(60 * MS, 140 * MS)), t.share("miss", 0.1));
        t.end();
        return routers;
    }

    private ScalePlan.Origin origin(Table t) {
        ScalePlan.Origin origin =
                new ScalePlan.Origin(t.rate("capacity", 40), t.times("latency", new Span(80 * MS, 160 * MS)));
        if (origin.capacity() <= 0) {
            t.mistake("capacity", "is 0");
        }
        t.end();
        return origin;
    }

    private ScalePlan.Traffic traffic(Table t) {
        ScalePlan.Traffic traffic = new ScalePlan.Traffic(
                t.rate("per_balancer", 5),
                (int) t.whole("keys", 1, 8_000),
                t.number("exponent", 0.01, MOST_EXPONENT, 0.95),
                (int) t.size("value", 64));
        t.end();
        return traffic;
    }

    private ScalePlan.Changes changes(Table t) {
        ScalePlan.Changes changes = new ScalePlan.Changes(t.rate("rate", 0), t.time("lasting", 2 * SECOND));
        t.end();
        return changes;
    }

    private ScalePlan.Discovery discovery(Table t) {
        ScalePlan.Discovery discovery = new ScalePlan.Discovery(
                t.times("spread", new Span(25 * MS, 1_300 * MS)), t.time("call", MS), t.time("line", 0));
        t.end();
        return discovery;
    }

    private List<Act> script(Table top, Places places, long duration) {
        List<Act> acts = new ArrayList<>();
        for (Table t : top.tables("script")) {
            acts.add(act(t, places, duration));
            t.end();
        }
        return acts;
    }

    private Act act(Table t, Places places, long duration) {
        What what = t.word("do", What.class, null);
        long at = t.time("at");
        if (at > duration) {
            t.mistake("at", "is after the end");
        }
        boolean lasts = what != What.RESTART_BALANCERS;
        long lasting = lasts ? t.time("for") : t.time("for", 0);
        return new Act(
                what,
                at,
                lasting,
                place(t, what, places),
                t.share("share", 1),
                (int) t.whole("count", 1, 1),
                t.time("within", SECOND));
    }

    private int place(Table t, What what, Places places) {
        if (what == What.CUT_ZONE || what == What.LOSE_ZONE) {
            return named(t, "zone", places.zoneNames());
        }
        return what == What.CUT_REGION ? named(t, "region", places.regions()) : -1;
    }

    private int named(Table t, String field, List<String> names) {
        String name = t.text(field, null);
        if (name != null && !names.contains(name)) {
            t.mistake(field, "= \"" + name + "\" is none of " + String.join(", ", names));
        }
        return Math.max(0, names.indexOf(name));
    }
}
