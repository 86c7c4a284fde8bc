package baymoor.emulator.scenario;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a number with its unit. A number without one is an error that names the units there are. */
final class Quantity {

    private static final Pattern FORM = Pattern.compile("\\s*([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z%/]*)\\s*");
    private static final Map<String, Double> TIMES = new LinkedHashMap<>();
    private static final Map<String, Double> SIZES = new LinkedHashMap<>();
    private static final Map<String, Double> RATES = new LinkedHashMap<>();

    static {
        TIMES.put("us", 1.0);
        TIMES.put("ms", 1e3);
        TIMES.put("s", 1e6);
        TIMES.put("m", 60e6);
        TIMES.put("h", 3600e6);
        SIZES.put("B", 1.0);
        SIZES.put("KiB", 1024.0);
        SIZES.put("MiB", 1024.0 * 1024);
        SIZES.put("GiB", 1024.0 * 1024 * 1024);
        RATES.put("/s", 1.0);
        RATES.put("/m", 1.0 / 60);
    }

    /** What a quantity is of. */
    enum Kind {
        TIME(TIMES, "a time", "800ms"),
        SIZE(SIZES, "a size", "64KiB"),
        RATE(RATES, "a rate", "170/s"),
        SHARE(Map.of("%", 0.01), "a share", "25%");

        private final Map<String, Double> units;
        private final String name;
        private final String example;

        Kind(Map<String, Double> units, String name, String example) {
            this.units = units;
            this.name = name;
            this.example = example;
        }
    }

    /** What is wrong with a quantity; the text goes behind the field's name. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1;

        Unreadable(String what) {
            super(what, null, false, false);
        }
    }

    private Quantity() {}

    /** In microseconds, bytes, events a second, or as a share of 1. */
    static double read(String text, Kind kind) throws Unreadable {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new Unreadable("\"" + text + "\" is not " + kind.name + " such as \"" + kind.example + "\"");
        }
        String unit = matcher.group(2);
        if (unit.isEmpty()) {
            throw bare(matcher.group(1), kind);
        }
        Double factor = kind.units.get(unit);
        if (factor == null) {
            String meant = kind.units.keySet().stream()
                    .filter(u -> u.equalsIgnoreCase(unit))
                    .findFirst()
                    .map(u -> "; did you mean \"" + matcher.group(1) + u + "\"?")
                    .orElse("");
            throw new Unreadable("\"" + text + "\" has the unit " + unit + ", which is none of "
                    + String.join(", ", kind.units.keySet()) + meant);
        }
        return Double.parseDouble(matcher.group(1)) * factor;
    }

    static Unreadable bare(String number, Kind kind) {
        return new Unreadable(String.format(
                Locale.ROOT,
                "%s has no unit; write %s such as \"%s\" (units: %s)",
                number,
                kind.name,
                kind.example,
                String.join(", ", kind.units.keySet())));
    }
}
