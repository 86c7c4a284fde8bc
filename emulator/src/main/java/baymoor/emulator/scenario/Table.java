package baymoor.emulator.scenario;

import baymoor.emulator.scenario.Quantity.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Typed access to one table of a TOML file. An invalid field is recorded as a {@link Mistake} with its position and read
 * as its default, so that one pass reports all mistakes of a file. {@link #end} reports unknown fields. Not thread-safe.
 */
public final class Table {

    /** Distance within which an unknown field counts as a misspelling of a known one. */
    private static final LevenshteinDistance TYPO_DISTANCE = new LevenshteinDistance(2);

    private final TomlTable table;
    private final String path;
    private final TomlPosition position;
    private final List<Mistake> mistakes;
    private final Set<String> knownFields = new LinkedHashSet<>();

    /**
     * Creates the view of a table.
     *
     * @param path     prefix of the field names in messages, empty for the top level
     * @param position where the table begins, or null
     * @param mistakes list to which mistakes are added
     */
    public Table(TomlTable table, String path, TomlPosition position, List<Mistake> mistakes) {
        this.table = table;
        this.path = path;
        this.position = position;
        this.mistakes = mistakes;
    }

    /** Returns the line at which the table begins, or 0 if it has none. */
    public int line() {
        return position == null ? 0 : position.line();
    }

    /** Returns whether the table contains a field. */
    public boolean has(String field) {
        knownFields.add(field);
        return table.contains(List.of(field));
    }

    private Object get(String field) {
        knownFields.add(field);
        return table.get(List.of(field));
    }

    /** Records a mistake at a field, or at the table's beginning if the field is absent. */
    public void mistake(String field, String problem) {
        TomlPosition fieldPosition = table.contains(List.of(field)) ? table.inputPositionOf(List.of(field)) : position;
        mistakes.add(new Mistake(
                fieldPosition == null ? 0 : fieldPosition.line(),
                fieldPosition == null ? 0 : fieldPosition.column(),
                path + field + " " + problem));
    }

    /** Returns a nested table, empty if it is absent. */
    public Table table(String field) {
        Object value = get(field);
        if (value != null && !(value instanceof TomlTable)) {
            mistake(field, "is not a table");
        }
        boolean present = value instanceof TomlTable;
        return new Table(
                present ? (TomlTable) value : org.tomlj.Toml.parse(""),
                path + field + ".",
                present ? table.inputPositionOf(List.of(field)) : position,
                mistakes);
    }

    /** Returns an array of tables, empty if it is absent. */
    public List<Table> tables(String field) {
        Object value = get(field);
        List<Table> values = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                values.add(new Table(
                        array.getTable(i), path + field + "[" + (i + 1) + "].", array.inputPositionOf(i), mistakes));
            }
        } else if (value != null) {
            mistake(field, "is not a list of tables; write [[" + path + field + "]]");
        }
        return values;
    }

    /** Returns a list of strings. */
    public List<String> texts(String field, List<String> defaultValue) {
        Object value = get(field);
        if (value == null) {
            return defaultValue;
        }
        List<String> values = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String text) {
                    values.add(text);
                } else {
                    mistake(field, "contains a value that is not a string");
                }
            }
        } else {
            mistake(field, "is not a list of strings");
        }
        return values;
    }

    /**
     * Returns a string.
     *
     * @param defaultValue value if the field is absent, or null if it is required
     */
    public String text(String field, String defaultValue) {
        Object value = get(field);
        if (value == null || value instanceof String) {
            if (value == null && defaultValue == null) {
                mistake(field, "is missing");
            }
            return value == null ? defaultValue : (String) value;
        }
        mistake(field, "is not a string");
        return defaultValue;
    }

    /** Returns a boolean. */
    public boolean flag(String field, boolean defaultValue) {
        Object value = get(field);
        if (value != null && !(value instanceof Boolean)) {
            mistake(field, "is not a boolean");
            return defaultValue;
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Returns an integer of at least {@code min}. */
    public long whole(String field, long min, long defaultValue) {
        Object value = get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Long number)) {
            mistake(field, "is not a whole number");
            return defaultValue;
        }
        if (number < min) {
            mistake(field, "is " + number + ", under " + min);
            return defaultValue;
        }
        return number;
    }

    /** Returns a number without a unit from {@code min} to {@code max}. */
    public double number(String field, double min, double max, double defaultValue) {
        Object value = get(field);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number)) {
            mistake(field, "is not a number");
            return defaultValue;
        }
        return checkRange(field, number.doubleValue(), min, max, defaultValue);
    }

    private double checkRange(String field, double value, double min, double max, double defaultValue) {
        if (value >= min && value <= max) {
            return value;
        }
        mistake(field, String.format(Locale.ROOT, "is out of range (%s to %s)", formatNumber(min), formatNumber(max)));
        return defaultValue;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    private double quantity(String field, Kind kind, Object value, double defaultValue) {
        try {
            if (value instanceof String text) {
                return Quantity.parse(text, kind);
            }
            if (value instanceof Number number) {
                throw Quantity.missingUnit(number.toString(), kind);
            }
            throw new Quantity.InvalidQuantityException("is not a quantity");
        } catch (Quantity.InvalidQuantityException e) {
            mistake(field, e.getMessage().startsWith("is ") ? e.getMessage() : "= " + e.getMessage());
            return defaultValue;
        }
    }

    private double quantity(String field, Kind kind, double defaultValue) {
        Object value = get(field);
        return value == null ? defaultValue : quantity(field, kind, value, defaultValue);
    }

    /** Returns a time in microseconds. */
    public long time(String field, long defaultValue) {
        return Math.round(quantity(field, Kind.TIME, defaultValue));
    }

    /** Returns the time of a required field in microseconds. */
    public long time(String field) {
        if (!has(field)) {
            mistake(field, "is missing");
        }
        return time(field, 0);
    }

    /** Returns a size in bytes. */
    public long size(String field, long defaultValue) {
        return Math.round(quantity(field, Kind.SIZE, defaultValue));
    }

    /** Returns a rate per second. */
    public double rate(String field, double defaultValue) {
        return quantity(field, Kind.RATE, defaultValue);
    }

    /** Returns a share from 0 to 1, written as {@code "25%"}. */
    public double share(String field, double defaultValue) {
        return checkRange(field, quantity(field, Kind.SHARE, defaultValue), 0, 1, defaultValue);
    }

    /** Returns a list of shares from 0 to 1. */
    public List<Double> shares(String field, List<Double> defaultValue) {
        Object value = get(field);
        if (value == null) {
            return defaultValue;
        }
        List<Double> values = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                values.add(checkRange(field, quantity(field, Kind.SHARE, array.get(i), 0), 0, 1, 0));
            }
        } else {
            mistake(field, "is not a list of shares");
        }
        return values;
    }

    /** Returns a range of times in microseconds, written as one time or as a list of minimum and maximum. */
    public Span times(String field, Span defaultValue) {
        Object value = get(field);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof TomlArray array) {
            if (array.size() != 2) {
                mistake(field, "has " + array.size() + " times instead of a minimum and a maximum");
                return defaultValue;
            }
            long min = Math.round(quantity(field, Kind.TIME, array.get(0), 0));
            long max = Math.round(quantity(field, Kind.TIME, array.get(1), min));
            if (max < min) {
                mistake(field, "has a minimum above its maximum");
                return defaultValue;
            }
            return new Span(min, max);
        }
        return Span.of(Math.round(quantity(field, Kind.TIME, value, defaultValue.least())));
    }

    /**
     * Returns an enum constant, written in lower case with hyphens.
     *
     * @param defaultValue value if the field is absent, or null if it is required
     */
    public <E extends Enum<E>> E word(String field, Class<E> type, E defaultValue) {
        String text = text(field, defaultValue == null ? null : word(defaultValue));
        for (E constant : type.getEnumConstants()) {
            if (word(constant).equals(text)) {
                return constant;
            }
        }
        if (text != null) {
            String names =
                    Arrays.stream(type.getEnumConstants()).map(Table::word).collect(Collectors.joining(", "));
            mistake(field, "= \"" + text + "\" is none of " + names);
        }
        return defaultValue;
    }

    static String word(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Reports every field that was never read as unknown, with a similar known one if there is any. */
    public void end() {
        for (String field : table.keySet()) {
            if (!knownFields.contains(field)) {
                String suggestion = knownFields.stream()
                        .filter(known -> TYPO_DISTANCE.apply(known, field) >= 0)
                        .findFirst()
                        .map(known -> "; did you mean " + known + "?")
                        .orElse("; known here: " + String.join(", ", knownFields));
                mistake(field, "is not a field" + suggestion);
            }
        }
    }
}
