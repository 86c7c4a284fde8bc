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
 * Reads the places file, which describes the topology of the tier. The format is a subset of TOML: root fields and arrays of
 * tables whose values are strings or integers.
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

    /** The content of a places file. */
    public record Result(Places places, List<Delay> delays) {}

    /**
     * The one-way network delay between two regions, for simulated networks.
     *
     * @param from the region of the sender
     * @param to the region of the receiver
     * @param micros the delay in microseconds
     */
    public record Delay(String from, String to, long micros) {}

    private static final Pattern TABLE_HEADER = Pattern.compile("\\[\\[\\s*(\\w+)\\s*]]");
    private static final Pattern FIELD = Pattern.compile("(\\w+)\\s*=\\s*(?:\"([^\"]*)\"|([0-9_]+))");
    private static final Pattern RANGE = Pattern.compile("(\\d{1,6})(?:\\s*-\\s*(\\d{1,6}))?");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9}(?:\\.\\d{1,3})?)\\s*(us|ms|s)");
    private static final Map<String, Set<String>> FIELDS_BY_TABLE = Map.of(
            "", Set.of("balancers", "largest_group"),
            "zone", Set.of("name", "region"),
            "site", Set.of("name", "zone", "balancers"),
            "delay", Set.of("from", "to", "time"));
    private static final int MAX_BALANCERS = 10_000;
    private static final int MAX_SITES = 1_000;

    private record Value(String text, boolean quoted, int line) {}

    private record Table(String name, int line, Map<String, Value> values) {}

    private final String file;
    private final List<Table> tables = new ArrayList<>();
    private int largestGroup = Places.MAX_CHILDREN;

    private PlacesReader(String file) {
        this.file = file;
    }

    /**
     * Parses and validates the text of a places file.
     *
     * @param file the file name to use in error messages
     * @param text the content of the file
     * @throws PlacesException if the file is invalid; describes the first error
     */
    public static Result read(String file, String text) throws PlacesException {
        PlacesReader reader = new PlacesReader(file);
        reader.parse(text);
        return reader.buildResult();
    }

    private PlacesException error(int line, String field, String problem) {
        return new PlacesException(file, line, field, problem);
    }

    private void parse(String text) throws PlacesException {
        tables.add(new Table("", 1, new LinkedHashMap<>()));
        int lineNumber = 0;
        for (String rawLine : text.split("\n", -1)) {
            lineNumber++;
            String line = withoutComment(rawLine).strip();
            if (!line.isEmpty()) {
                parseLine(line, lineNumber);
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

    private void parseLine(String line, int lineNumber) throws PlacesException {
        Matcher table = TABLE_HEADER.matcher(line);
        if (table.matches()) {
            if (!FIELDS_BY_TABLE.containsKey(table.group(1))) {
                throw error(
                        lineNumber, table.group(1), "is not a known table; expected [[zone]], [[site]] or [[delay]]");
            }
            tables.add(new Table(table.group(1), lineNumber, new LinkedHashMap<>()));
            return;
        }
        Matcher field = FIELD.matcher(line);
        if (!field.matches()) {
            throw error(
                    lineNumber,
                    "line",
                    "is neither a [[table]] header nor a field set to a quoted string or an integer");
        }
        Table current = tables.get(tables.size() - 1);
        String name = field.group(1);
        if (!FIELDS_BY_TABLE.get(current.name()).contains(name)) {
            throw error(lineNumber, name, "is not a known field of this table");
        }
        boolean quoted = field.group(2) != null;
        Value value = new Value(quoted ? field.group(2) : field.group(3).replace("_", ""), quoted, lineNumber);
        if (current.values().put(name, value) != null) {
            throw error(lineNumber, name, "is set twice");
        }
    }

    private Value requiredValue(Table table, String field) throws PlacesException {
        Value value = table.values().get(field);
        if (value == null) {
            throw error(table.line(), field, "is missing in [[" + table.name() + "]]");
        }
        return value;
    }

    private Value requiredString(Table table, String field) throws PlacesException {
        Value value = requiredValue(table, field);
        if (!value.quoted() || value.text().isBlank()) {
            throw error(value.line(), field, "is not a non-empty quoted string");
        }
        return value;
    }

    private int parseInteger(Value value, String field, int min, int max) throws PlacesException {
        if (value.quoted() || value.text().length() > 9 || value.text().isEmpty()) {
            throw error(value.line(), field, "is not an integer of at most 9 digits");
        }
        int number = Integer.parseInt(value.text());
        if (number < min || number > max) {
            throw error(value.line(), field, "is " + number + ", not from " + min + " to " + max);
        }
        return number;
    }

    private Result buildResult() throws PlacesException {
        Table root = tables.get(0);
        if (root.values().containsKey("largest_group")) {
            largestGroup = parseInteger(root.values().get("largest_group"), "largest_group", 1, Places.MAX_CHILDREN);
        }
        Value balancersValue = root.values().get("balancers");
        if (balancersValue == null) {
            throw error(1, "balancers", "is missing; expected the total count");
        }
        int balancerCount = parseInteger(balancersValue, "balancers", 1, MAX_BALANCERS);
        Map<String, String> regionByZone = new LinkedHashMap<>();
        Map<String, Integer> lineByZone = new HashMap<>();
        for (Table table : tablesNamed("zone")) {
            Value name = requiredString(table, "name");
            if (regionByZone.put(name.text(), requiredString(table, "region").text()) != null) {
                throw error(name.line(), "name", "= \"" + name.text() + "\" is already defined as a zone");
            }
            lineByZone.put(name.text(), name.line());
        }
        List<Places.Site> sites = readSites(balancerCount, regionByZone);
        checkEveryBalancerPlaced(balancersValue.line(), balancerCount, sites);
        checkGroupSizes(sites, regionByZone, lineByZone);
        List<Delay> delays = readDelays(Set.copyOf(regionByZone.values()));
        return new Result(new Places(sites, regionByZone), delays);
    }

    private List<Table> tablesNamed(String name) {
        return tables.stream().filter(t -> t.name().equals(name)).toList();
    }

    private List<Places.Site> readSites(int balancerCount, Map<String, String> regionByZone) throws PlacesException {
        List<Places.Site> sites = new ArrayList<>();
        Map<String, String> zoneBySite = new HashMap<>();
        Map<Integer, String> siteByBalancer = new HashMap<>();
        for (Table table : tablesNamed("site")) {
            Value name = requiredString(table, "name");
            Value zone = requiredString(table, "zone");
            if (!regionByZone.containsKey(zone.text())) {
                throw error(zone.line(), "zone", "= \"" + zone.text() + "\" is not a defined [[zone]]");
            }
            String previousZone = zoneBySite.put(name.text(), zone.text());
            if (previousZone != null) {
                String where = previousZone.equals(zone.text())
                        ? "twice in zone " + previousZone
                        : "in two zones, " + previousZone + " and ";
                String placement = previousZone.equals(zone.text()) ? where : where + zone.text();
                throw error(name.line(), "name", "= \"" + name.text() + "\" is listed " + placement);
            }
            List<Integer> numbers =
                    parseBalancers(requiredString(table, "balancers"), balancerCount, name.text(), siteByBalancer);
            sites.add(new Places.Site(name.text(), zone.text(), numbers));
        }
        if (sites.isEmpty()) {
            throw error(1, "site", "is missing; at least one [[site]] is required");
        }
        if (sites.size() > MAX_SITES) {
            throw error(1, "site", "is defined " + sites.size() + " times; the limit is " + MAX_SITES);
        }
        return sites;
    }

    private List<Integer> parseBalancers(
            Value value, int balancerCount, String site, Map<Integer, String> siteByBalancer) throws PlacesException {
        List<Integer> numbers = new ArrayList<>();
        for (String item : value.text().split(",")) {
            Matcher range = RANGE.matcher(item.strip());
            if (!range.matches()) {
                throw error(value.line(), "balancers", "= \"" + value.text() + "\" is not a list such as \"0-12, 14\"");
            }
            int first = Integer.parseInt(range.group(1));
            int last = range.group(2) == null ? first : Integer.parseInt(range.group(2));
            if (last < first) {
                throw error(value.line(), "balancers", "has a descending range from " + first + " to " + last);
            }
            if (last >= balancerCount) {
                throw error(
                        value.line(),
                        "balancers",
                        "contains balancer " + last + "; the highest number is " + (balancerCount - 1));
            }
            for (int number = first; number <= last; number++) {
                String previousSite = siteByBalancer.put(number, site);
                if (previousSite != null) {
                    throw error(
                            value.line(),
                            "balancers",
                            "contains balancer " + number + ", already listed in site " + previousSite);
                }
                numbers.add(number);
            }
        }
        if (numbers.size() > largestGroup) {
            throw error(value.line(), "balancers", tooManyMembers("site " + site, numbers.size()));
        }
        return numbers;
    }

    private String tooManyMembers(String group, int size) {
        return "assigns " + size + " members to " + group + "; the limit is " + largestGroup;
    }

    private void checkEveryBalancerPlaced(int line, int balancerCount, List<Places.Site> sites) throws PlacesException {
        boolean[] placed = new boolean[balancerCount];
        sites.forEach(s -> s.balancers().forEach(b -> placed[b] = true));
        for (int number = 0; number < balancerCount; number++) {
            if (!placed[number]) {
                throw error(
                        line, "balancers", "is " + balancerCount + ", but balancer " + number + " is not in any site");
            }
        }
    }

    private void checkGroupSizes(
            List<Places.Site> sites, Map<String, String> regionByZone, Map<String, Integer> lineByZone)
            throws PlacesException {
        Map<String, Integer> siteCountByZone = new TreeMap<>();
        sites.forEach(s -> siteCountByZone.merge(s.zone(), 1, Integer::sum));
        Map<String, Integer> zoneCountByRegion = new TreeMap<>();
        for (Map.Entry<String, String> zone : regionByZone.entrySet()) {
            int line = lineByZone.get(zone.getKey());
            int size = siteCountByZone.getOrDefault(zone.getKey(), 0);
            if (size == 0) {
                throw error(line, "name", "= \"" + zone.getKey() + "\" is a zone without sites");
            }
            if (size > largestGroup) {
                throw error(line, "name", tooManyMembers("zone " + zone.getKey(), size));
            }
            if (zoneCountByRegion.merge(zone.getValue(), 1, Integer::sum) > largestGroup) {
                throw error(line, "region", tooManyMembers("region " + zone.getValue(), largestGroup + 1));
            }
            if (zoneCountByRegion.size() > largestGroup) {
                throw error(line, "region", tooManyMembers("the tier", zoneCountByRegion.size()));
            }
        }
    }

    private List<Delay> readDelays(Set<String> regions) throws PlacesException {
        List<Delay> delays = new ArrayList<>();
        for (Table table : tablesNamed("delay")) {
            String from = requiredRegion(table, "from", regions);
            String to = requiredRegion(table, "to", regions);
            Value time = requiredValue(table, "time");
            Matcher matcher = DURATION.matcher(time.text());
            if (!matcher.matches()) {
                throw error(
                        time.line(),
                        "time",
                        "= " + time.text() + " is not a duration such as \"38ms\", \"38us\" or \"1s\"");
            }
            double microsPerUnit = Map.of("us", 1.0, "ms", 1e3, "s", 1e6).get(matcher.group(2));
            delays.add(new Delay(from, to, Math.round(Double.parseDouble(matcher.group(1)) * microsPerUnit)));
        }
        return List.copyOf(delays);
    }

    private String requiredRegion(Table table, String field, Set<String> regions) throws PlacesException {
        Value value = requiredString(table, field);
        if (!regions.contains(value.text())) {
            throw error(value.line(), field, "= \"" + value.text() + "\" is not a defined region");
        }
        return value.text();
    }
}
