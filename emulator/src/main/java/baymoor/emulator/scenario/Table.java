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
 * One table of a TOML file, read field by field. What is wrong is noted with its place and the reading goes on with the
 * value for an absent field, so that one look at a file names all its mistakes; {@link #end} notes what nobody asked for.
 */
public final class Table {

    /** Up to two letters wrong. */
    private static final LevenshteinDistance LIKENESS = new LevenshteinDistance(2);

    private final TomlTable table;
    private final String path;
    private final TomlPosition place;
    private final List<Mistake> mistakes;
    private final Set<String> asked = new LinkedHashSet<>();

    public Table(TomlTable table, String path, TomlPosition place, List<Mistake> mistakes) {
        this.table = table;
        this.path = path;
        this.place = place;
        this.mistakes = mistakes;
    }

    /** The line at which the table begins, 0 where there is none. */
    public int line() {
        return place == null ? 0 : place.line();
    }

    /** Whether a field stands in the table. */
    public boolean has(String field) {
        asked.add(field);
        return table.contains(List.of(field));
    }

    private Object get(String field) {
        asked.add(field);
        return table.get(List.of(field));
    }

    /** Notes a mistake at a field. */
    public void mistake(String field, String what) {
        TomlPosition at = table.contains(List.of(field)) ? table.inputPositionOf(List.of(field)) : place;
        mistakes.add(new Mistake(at == null ? 0 : at.line(), at == null ? 0 : at.column(), path + field + " " + what));
    }

    /** A table within, empty where there is none. */
    public Table table(String field) {
        Object value = get(field);
        if (value != null && !(value instanceof TomlTable)) {
            mistake(field, "is not a table");
        }
        boolean there = value instanceof TomlTable;
        return new Table(
                there ? (TomlTable) value : org.tomlj.Toml.parse(""),
                path + field + ".",
                there ? table.inputPositionOf(List.of(field)) : place,
                mistakes);
    }

    /** An array of tables, empty where there is none. */
    public List<Table> tables(String field) {
        Object value = get(field);
        List<Table> all = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                all.add(new Table(
                        array.getTable(i), path + field + "[" + (i + 1) + "].", array.inputPositionOf(i), mistakes));
            }
        } else if (value != null) {
            mistake(field, "is not a list of tables; write [[" + path + field + "]]");
        }
        return all;
    }

    /** A list of texts. */
    public List<String> texts(String field, List<String> absent) {
        Object value = get(field);
        if (value == null) {
            return absent;
        }
        List<String> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                if (array.get(i) instanceof String text) {
                    all.add(text);
                } else {
                    mistake(field, "holds something that is not text");
                }
            }
        } else {
            mistake(field, "is not a list of texts");
        }
        return all;
    }

    /** A text; without {@code absent} it has to be there. */
    public String text(String field, String absent) {
        Object value = get(field);
        if (value == null || value instanceof String) {
            if (value == null && absent == null) {
                mistake(field, "is missing");
            }
            return value == null ? absent : (String) value;
        }
        mistake(field, "is not text");
        return absent;
    }

    /** True or false. */
    public boolean flag(String field, boolean absent) {
        Object value = get(field);
        if (value != null && !(value instanceof Boolean)) {
            mistake(field, "is neither true nor false");
            return absent;
        }
        return value == null ? absent : (Boolean) value;
    }

    /** A whole number of things from {@code least} on. */
    public long whole(String field, long least, long absent) {
        Object value = get(field);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Long number)) {
            mistake(field, "is not a whole number");
            return absent;
        }
        if (number < least) {
            mistake(field, "is " + number + ", under " + least);
            return absent;
        }
        return number;
    }

    /** A number without a unit, between two bounds: factors and exponents. */
    public double number(String field, double least, double most, double absent) {
        Object value = get(field);
        if (value == null) {
            return absent;
        }
        if (!(value instanceof Number number)) {
            mistake(field, "is not a number");
            return absent;
        }
        return within(field, number.doubleValue(), least, most, absent);
    }

    private double within(String field, double value, double least, double most, double absent) {
        if (value >= least && value <= most) {
            return value;
        }
        mistake(field, String.format(Locale.ROOT, "is out of range (%s to %s)", plain(least), plain(most)));
        return absent;
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
    }

    private double quantity(String field, Kind kind, Object value, double absent) {
        try {
            if (value instanceof String text) {
                return Quantity.read(text, kind);
            }
            if (value instanceof Number number) {
                throw Quantity.bare(number.toString(), kind);
            }
            throw new Quantity.Unreadable("is not a quantity");
        } catch (Quantity.Unreadable e) {
            mistake(field, e.getMessage().startsWith("is ") ? e.getMessage() : "= " + e.getMessage());
            return absent;
        }
    }

    private double quantity(String field, Kind kind, double absent) {
        Object value = get(field);
        return value == null ? absent : quantity(field, kind, value, absent);
    }

    /** Microseconds. */
    public long time(String field, long absent) {
        return Math.round(quantity(field, Kind.TIME, absent));
    }

    /** Microseconds, which must be stated. */
    public long time(String field) {
        if (!has(field)) {
            mistake(field, "is missing");
        }
        return time(field, 0);
    }

    /** Bytes. */
    public long size(String field, long absent) {
        return Math.round(quantity(field, Kind.SIZE, absent));
    }

    /** Events a second. */
    public double rate(String field, double absent) {
        return quantity(field, Kind.RATE, absent);
    }

    /** A share of 1, written as {@code "25%"}. */
    public double share(String field, double absent) {
        return within(field, quantity(field, Kind.SHARE, absent), 0, 1, absent);
    }

    /** A list of shares of 1. */
    public List<Double> shares(String field, List<Double> absent) {
        Object value = get(field);
        if (value == null) {
            return absent;
        }
        List<Double> all = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                all.add(within(field, quantity(field, Kind.SHARE, array.get(i), 0), 0, 1, 0));
            }
        } else {
            mistake(field, "is not a list of shares");
        }
        return all;
    }

    /** One time, or a list of the least and the most. */
    public Span times(String field, Span absent) {
        Object value = get(field);
        if (value == null) {
            return absent;
        }
        if (value instanceof TomlArray array) {
            if (array.size() != 2) {
                mistake(field, "has " + array.size() + " times instead of the least and the most");
                return absent;
            }
            long least = Math.round(quantity(field, Kind.TIME, array.get(0), 0));
            long most = Math.round(quantity(field, Kind.TIME, array.get(1), least));
            if (most < least) {
                mistake(field, "has its least above its most");
                return absent;
            }
            return new Span(least, most);
        }
        return Span.of(Math.round(quantity(field, Kind.TIME, value, absent.least())));
    }

    /** One of the words of an enumeration, written in small letters with hyphens. */
    public <E extends Enum<E>> E word(String field, Class<E> words, E absent) {
        String text = text(field, absent == null ? null : word(absent));
        for (E e : words.getEnumConstants()) {
            if (word(e).equals(text)) {
                return e;
            }
        }
        if (text != null) {
            String all =
                    Arrays.stream(words.getEnumConstants()).map(Table::word).collect(Collectors.joining(", "));
            mistake(field, "= \"" + text + "\" is none of " + all);
        }
        return absent;
    }

    static String word(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Notes every field that nobody asked for, with the nearest one that there is. */
    public void end() {
        for (String field : table.keySet()) {
            if (!asked.contains(field)) {
                String near = asked.stream()
                        .filter(a -> LIKENESS.apply(a, field) >= 0)
                        .findFirst()
                        .map(a -> "; did you mean " + a + "?")
                        .orElse("; known here: " + String.join(", ", asked));
                mistake(field, "is not a field" + near);
            }
        }
    }
}
