package baymoor.tier.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the operators' file of places: the part of TOML that consists of arrays of tables with text and whole numbers.
 *
 * <pre>
 * balancers = 26
 * [[zone]]
 * name = "north-a"
 * region = "north"
 * [[site]]
 * name = "n1"
 * zone = "north-a"
 * balancers = "0-12"
 * [[delay]]
 * from = "north"
 * to = "south"
 * time = "38ms"
 * </pre>
 */
public final class PlacesReader {

    /** What the file says. */
    public record Result(Places places, List<Delay> delays) {}

    /** The time that a datagram takes between two regions, for rehearsals. */
    public record Delay(String from, String to, long micros) {}

    private static final Pattern TABLE = Pattern.compile("\\[\\[\\s*(\\w+)\\s*]]");
    private static final Pattern FIELD = Pattern.compile("(\\w+)\\s*=\\s*(?:\"([^\"]*)\"|([0-9_]+))");
    private static final Pattern RANGE = Pattern.compile("(\\d{1,6})(?:\\s*-\\s*(\\d{1,6}))?");
    private static final Pattern TIME = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,3})?)\\s*(us|ms|s)");
    private static final Map<String, Set<String>> FIELDS = Map.of(
            "", Set.of("balancers", "largest_group"),
            "zone", Set.of("name", "region"),
            "site", Set.of("name", "zone", "balancers"),
            "delay", Set.of("from", "to", "time"));
    private static final int MOST_BALANCERS = 10_000;
    private static final int MOST_SITES = 1_000;

    private record Value(String text, boolean quoted, int line) {}

    private record Table(String name, int line, Map<String, Value> values) {}

    private final String file;
    private final List<Table> tables = new ArrayList<>();
    private int largestGroup = Places.LARGEST_GROUP;

    private PlacesReader(String file) {
        this.file = file;
    }

    /**
     * Reads a file's text.
     *
     * @param file its name for messages
     * @throws PlacesException with the first mistake
     */
    public static Result read(String file, String text) throws PlacesException {
        PlacesReader reader = new PlacesReader(file);
        reader.scan(text);
        return reader.build();
    }

    private PlacesException mistake(int line, String field, String what) {
        return new PlacesException(file, line, field, what);
    }

    private void scan(String text) throws PlacesException {
        tables.add(new Table("", 1, new LinkedHashMap<>()));
        int number = 0;
        for (String raw : text.split("\n", -1)) {
            number++;
            String line = withoutComment(raw).strip();
            if (!line.isEmpty()) {
                scanLine(line, number);
            }
        }
    }

    private static String withoutComment(String line) {
        boolean quoted = false;
        for (int i = 0; i < line.length(); i++) {
            quoted ^= line.charAt(i) == '"';
            if (line.charAt(i) == '#' && !quoted) {
                return line.substring(0, i);
            }
        }
        return line;
    }

    private void scanLine(String line, int number) throws PlacesException {
        Matcher table = TABLE.matcher(line);
        if (table.matches()) {
            if (!FIELDS.containsKey(table.group(1))) {
                throw mistake(number, table.group(1), "is no table; there are [[zone]], [[site]] and [[delay]]");
            }
            tables.add(new Table(table.group(1), number, new LinkedHashMap<>()));
            return;
        }
        Matcher field = FIELD.matcher(line);
        if (!field.matches()) {
            throw mistake(number, "line", "is neither [[table]] nor field = \"text\" or a whole number");
        }
        Table current = tables.get(tables.size() - 1);
        String name = field.group(1);
        if (!FIELDS.get(current.name()).contains(name)) {
            throw mistake(number, name, "is not a field here");
        }
        boolean quoted = field.group(2) != null;
        Value value = new Value(quoted ? field.group(2) : field.group(3).replace("_", ""), quoted, number);
        if (current.values().put(name, value) != null) {
            throw mistake(number, name, "stands here twice");
        }
    }

    private Value value(Table table, String field) throws PlacesException {
        Value value = table.values().get(field);
        if (value == null) {
            throw mistake(table.line(), field, "is missing in [[" + table.name() + "]]");
        }
        return value;
    }

    private Value text(Table table, String field) throws PlacesException {
        Value value = value(table, field);
        if (!value.quoted() || value.text().isBlank()) {
            throw mistake(value.line(), field, "is not a text in quotes");
        }
        return value;
    }

    private int whole(Value value, String field, int least, int most) throws PlacesException {
        if (value.quoted() || value.text().length() > 9 || value.text().isEmpty()) {
            throw mistake(value.line(), field, "is not a whole number");
        }
        int number = Integer.parseInt(value.text());
        if (number < least || number > most) {
            throw mistake(value.line(), field, "is " + number + ", not from " + least + " to " + most);
        }
        return number;
    }

    private Result build() throws PlacesException {
        Table top = tables.get(0);
        if (top.values().containsKey("largest_group")) {
            largestGroup = whole(top.values().get("largest_group"), "largest_group", 1, Places.LARGEST_GROUP);
        }
        Value total = top.values().get("balancers");
        if (total == null) {
            throw mistake(1, "balancers", "is missing: the number of all balancers");
        }
        int balancers = whole(total, "balancers", 1, MOST_BALANCERS);
        Map<String, String> regionOfZone = new LinkedHashMap<>();
        Map<String, Integer> linesOfZones = new HashMap<>();
        for (Table table : tablesNamed("zone")) {
            Value name = text(table, "name");
            if (regionOfZone.put(name.text(), text(table, "region").text()) != null) {
                throw mistake(name.line(), "name", "= \"" + name.text() + "\" is a zone that there is already");
            }
            linesOfZones.put(name.text(), name.line());
        }
        List<Places.Site> sites = readSites(balancers, regionOfZone);
        checkCovered(total.line(), balancers, sites);
        checkSizes(sites, regionOfZone, linesOfZones);
        List<Delay> delays = readDelays(Set.copyOf(regionOfZone.values()));
        return new Result(new Places(sites, regionOfZone), delays);
    }

    private List<Table> tablesNamed(String name) {
        return tables.stream().filter(t -> t.name().equals(name)).toList();
    }

    private List<Places.Site> readSites(int balancers, Map<String, String> regionOfZone) throws PlacesException {
        List<Places.Site> sites = new ArrayList<>();
        Map<String, String> zoneOfSite = new HashMap<>();
        Map<Integer, String> siteOfBalancer = new HashMap<>();
        for (Table table : tablesNamed("site")) {
            Value name = text(table, "name");
            Value zone = text(table, "zone");
            if (!regionOfZone.containsKey(zone.text())) {
                throw mistake(zone.line(), "zone", "= \"" + zone.text() + "\" is no [[zone]] of this file");
            }
            String before = zoneOfSite.put(name.text(), zone.text());
            if (before != null) {
                String where =
                        before.equals(zone.text()) ? "twice in zone " + before : "in two zones, " + before + " and ";
                String both = before.equals(zone.text()) ? where : where + zone.text();
                throw mistake(name.line(), "name", "= \"" + name.text() + "\" stands " + both);
            }
            List<Integer> numbers = numbers(text(table, "balancers"), balancers, name.text(), siteOfBalancer);
            sites.add(new Places.Site(name.text(), zone.text(), numbers));
        }
        if (sites.isEmpty()) {
            throw mistake(1, "site", "is missing: there is no [[site]]");
        }
        if (sites.size() > MOST_SITES) {
            throw mistake(1, "site", "stands here " + sites.size() + " times, over " + MOST_SITES);
        }
        return sites;
    }

    private List<Integer> numbers(Value value, int balancers, String site, Map<Integer, String> siteOfBalancer)
            throws PlacesException {
        List<Integer> numbers = new ArrayList<>();
        for (String piece : value.text().split(",")) {
            Matcher range = RANGE.matcher(piece.strip());
            if (!range.matches()) {
                throw mistake(value.line(), "balancers", "= \"" + value.text() + "\" is no list like \"0-12, 14\"");
            }
            int first = Integer.parseInt(range.group(1));
            int last = range.group(2) == null ? first : Integer.parseInt(range.group(2));
            if (last < first) {
                throw mistake(value.line(), "balancers", "goes down from " + first + " to " + last);
            }
            if (last >= balancers) {
                throw mistake(
                        value.line(), "balancers", "names number " + last + "; the last one is " + (balancers - 1));
            }
            for (int number = first; number <= last; number++) {
                String before = siteOfBalancer.put(number, site);
                if (before != null) {
                    throw mistake(
                            value.line(), "balancers", "names number " + number + " twice, also in site " + before);
                }
                numbers.add(number);
            }
        }
        if (numbers.size() > largestGroup) {
            throw mistake(value.line(), "balancers", tooMany("site " + site, numbers.size()));
        }
        return numbers;
    }

    private String tooMany(String group, int size) {
        return "gives " + group + " " + size + " members, over " + largestGroup;
    }

    private void checkCovered(int line, int balancers, List<Places.Site> sites) throws PlacesException {
        boolean[] placed = new boolean[balancers];
        sites.forEach(s -> s.balancers().forEach(b -> placed[b] = true));
        for (int number = 0; number < balancers; number++) {
            if (!placed[number]) {
                throw mistake(line, "balancers", "is " + balancers + ", but number " + number + " is in no site");
            }
        }
    }

    private void checkSizes(
            List<Places.Site> sites, Map<String, String> regionOfZone, Map<String, Integer> linesOfZones)
            throws PlacesException {
        Map<String, Integer> sitesOfZone = new TreeMap<>();
        sites.forEach(s -> sitesOfZone.merge(s.zone(), 1, Integer::sum));
        Map<String, Integer> zonesOfRegion = new TreeMap<>();
        for (Map.Entry<String, String> zone : regionOfZone.entrySet()) {
            int line = linesOfZones.get(zone.getKey());
            int size = sitesOfZone.getOrDefault(zone.getKey(), 0);
            if (size == 0) {
                throw mistake(line, "name", "= \"" + zone.getKey() + "\" is a zone without a site");
            }
            if (size > largestGroup) {
                throw mistake(line, "name", tooMany("zone " + zone.getKey(), size));
            }
            if (zonesOfRegion.merge(zone.getValue(), 1, Integer::sum) > largestGroup) {
                throw mistake(line, "region", tooMany("region " + zone.getValue(), largestGroup + 1));
            }
            if (zonesOfRegion.size() > largestGroup) {
                throw mistake(line, "region", tooMany("the tier", zonesOfRegion.size()));
            }
        }
    }

    private List<Delay> readDelays(Set<String> regions) throws PlacesException {
        List<Delay> delays = new ArrayList<>();
        for (Table table : tablesNamed("delay")) {
            String from = region(table, "from", regions);
            String to = region(table, "to", regions);
            Value time = value(table, "time");
            Matcher matcher = TIME.matcher(time.text());
            if (!matcher.matches()) {
                throw mistake(
                        time.line(), "time", "= " + time.text() + " has no unit; write \"38ms\", \"38us\" or \"1s\"");
            }
            double unit = Map.of("us", 1.0, "ms", 1e3, "s", 1e6).get(matcher.group(2));
            delays.add(new Delay(from, to, Math.round(Double.parseDouble(matcher.group(1)) * unit)));
        }
        return List.copyOf(delays);
    }

    private String region(Table table, String field, Set<String> regions) throws PlacesException {
        Value value = text(table, field);
        if (!regions.contains(value.text())) {
            throw mistake(value.line(), field, "= \"" + value.text() + "\" is no region of this file");
        }
        return value.text();
    }
}
