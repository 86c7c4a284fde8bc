package baymoor.emulator.scenario;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses numbers with a unit. A missing or unknown unit is an error that lists the valid ones. */
final class Quantity {

    private static final Pattern QUANTITY_PATTERN = Pattern.compile("\\s*([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z%/]*)\\s*");
    private static final Map<String, Double> MICROS_BY_UNIT = new LinkedHashMap<>();
    private static final Map<String, Double> BYTES_BY_UNIT = new LinkedHashMap<>();
    private static final Map<String, Double> PER_SECOND_BY_UNIT = new LinkedHashMap<>();

    static {
        MICROS_BY_UNIT.put("us", 1.0);
        MICROS_BY_UNIT.put("ms", 1e3);
        MICROS_BY_UNIT.put("s", 1e6);
        MICROS_BY_UNIT.put("m", 60e6);
        MICROS_BY_UNIT.put("h", 3600e6);
        BYTES_BY_UNIT.put("B", 1.0);
        BYTES_BY_UNIT.put("KiB", 1024.0);
        BYTES_BY_UNIT.put("MiB", 1024.0 * 1024);
        BYTES_BY_UNIT.put("GiB", 1024.0 * 1024 * 1024);
        PER_SECOND_BY_UNIT.put("/s", 1.0);
        PER_SECOND_BY_UNIT.put("/m", 1.0 / 60);
    }

    /** Dimension of a quantity, with the factors of its units. */
    enum Kind {
        TIME(MICROS_BY_UNIT, "a time", "800ms"),
        SIZE(BYTES_BY_UNIT, "a size", "64KiB"),
        RATE(PER_SECOND_BY_UNIT, "a rate", "170/s"),
        SHARE(Map.of("%", 0.01), "a share", "25%");

        private final Map<String, Double> factors;
        private final String description;
        private final String example;

        Kind(Map<String, Double> factors, String description, String example) {
            this.factors = factors;
            this.description = description;
            this.example = example;
        }
    }

    /** Invalid quantity; the message follows the field's name. */
    static final class InvalidQuantityException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidQuantityException(String problem) {
            super(problem, null, false, false);
        }
    }

    private Quantity() {}

    /** Returns a quantity in microseconds, bytes, events per second, or as a share from 0 to 1. */
    static double parse(String text, Kind kind) throws InvalidQuantityException {
        Matcher matcher = QUANTITY_PATTERN.matcher(text);
        if (!matcher.matches()) {
            throw new InvalidQuantityException(
                    "\"" + text + "\" is not " + kind.description + " such as \"" + kind.example + "\"");
        }
        String unit = matcher.group(2);
        if (unit.isEmpty()) {
            throw missingUnit(matcher.group(1), kind);
        }
        Double factor = kind.factors.get(unit);
        if (factor == null) {
            String suggestion = kind.factors.keySet().stream()
                    .filter(u -> u.equalsIgnoreCase(unit))
                    .findFirst()
                    .map(u -> "; did you mean \"" + matcher.group(1) + u + "\"?")
                    .orElse("");
            throw new InvalidQuantityException("\"" + text + "\" has the unknown unit " + unit + "; write one of "
                    + String.join(", ", kind.factors.keySet()) + suggestion);
        }
        return Double.parseDouble(matcher.group(1)) * factor;
    }

    /** Returns the exception for a number without a unit. */
    static InvalidQuantityException missingUnit(String number, Kind kind) {
        return new InvalidQuantityException(String.format(
                Locale.ROOT,
                "%s has no unit; write %s such as \"%s\" (units: %s)",
                number,
                kind.description,
                kind.example,
                String.join(", ", kind.factors.keySet())));
    }
}
