package baymoor.config;

import baymoor.link.Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/** Reads the fields of one JSON object; what is there but wrong is an error that names the whole path. */
final class Fields {

    private final String path;
    private final JSONObject object;

    Fields(String path, JSONObject object) {
        this.path = path;
        this.object = object;
    }

    BadConfig bad(String field, String what) {
        return new BadConfig("config: " + path + field + " " + what);
    }

    private <T> T get(String field, Class<T> type, String what) throws BadConfig {
        Object value = object.opt(field);
        if (value == null || value == JSONObject.NULL) {
            return null;
        }
        if (!type.isInstance(value)) {
            throw bad(field, "is not " + what);
        }
        return type.cast(value);
    }

    private <T> T needed(String field, T value) throws BadConfig {
        if (value == null) {
            throw bad(field, "is missing");
        }
        return value;
    }

    Fields object(String field) throws BadConfig {
        JSONObject inner = get(field, JSONObject.class, "an object");
        return new Fields(path + field + ".", inner == null ? new JSONObject() : inner);
    }

    JSONObject json(String field) throws BadConfig {
        return get(field, JSONObject.class, "an object");
    }

    List<Fields> objects(String field) throws BadConfig {
        List<Fields> items = new ArrayList<>();
        JSONArray array = get(field, JSONArray.class, "a list");
        for (int i = 0; array != null && i < array.length(); i++) {
            if (!(array.opt(i) instanceof JSONObject item)) {
                throw bad(field + "[" + i + "]", "is not an object");
            }
            items.add(new Fields(path + field + "[" + i + "].", item));
        }
        return items;
    }

    List<String> texts(String field) throws BadConfig {
        List<String> items = new ArrayList<>();
        JSONArray array = get(field, JSONArray.class, "a list");
        for (int i = 0; array != null && i < array.length(); i++) {
            if (!(array.opt(i) instanceof String item)) {
                throw bad(field + "[" + i + "]", "is not text");
            }
            items.add(item);
        }
        return items;
    }

    String text(String field, String absent) throws BadConfig {
        String value = get(field, String.class, "text");
        return value == null ? absent : value;
    }

    String text(String field) throws BadConfig {
        return needed(field, text(field, null));
    }

    long whole(String field, long absent) throws BadConfig {
        Number value = get(field, Number.class, "a number");
        return value == null ? absent : value.longValue();
    }

    long whole(String field) throws BadConfig {
        needed(field, object.opt(field));
        return whole(field, 0);
    }

    double real(String field, double absent) throws BadConfig {
        Number value = get(field, Number.class, "a number");
        return value == null ? absent : value.doubleValue();
    }

    /** A whole number from {@code least} to {@code most}. */
    int count(String field, int absent, int least, int most) throws BadConfig {
        return within(field, whole(field, absent), least, most);
    }

    /** The same, where it has to be there. */
    int count(String field, int least, int most) throws BadConfig {
        return within(field, whole(field), least, most);
    }

    private int within(String field, long value, int least, int most) throws BadConfig {
        if (value < least || value > most) {
            throw bad(field, "is not from " + least + " to " + most);
        }
        return (int) value;
    }

    /** A whole number that has to be there. */
    long atLeast(String field, long least) throws BadConfig {
        long value = whole(field);
        if (value < least) {
            throw bad(field, "is under " + least);
        }
        return value;
    }

    /** A time in microseconds, or whatever else can't be negative. */
    long span(String field, long absent) throws BadConfig {
        return notNegative(field, whole(field, absent));
    }

    double amount(String field, double absent) throws BadConfig {
        return notNegative(field, real(field, absent));
    }

    private <N extends Number> N notNegative(String field, N value) throws BadConfig {
        if (value.doubleValue() < 0) {
            throw bad(field, "is under 0");
        }
        return value;
    }

    boolean flag(String field) throws BadConfig {
        return Boolean.TRUE.equals(get(field, Boolean.class, "true or false"));
    }

    <T> T choice(String field, T absent, Map<String, T> words) throws BadConfig {
        String word = text(field, null);
        if (word != null && !words.containsKey(word)) {
            throw bad(field, "is none of " + words.keySet().stream().sorted().toList());
        }
        return word == null ? absent : words.get(word);
    }

    /** A seed of 16 hex digits. */
    long seed(String field) throws BadConfig {
        try {
            return Long.parseUnsignedLong(text(field), 16);
        } catch (NumberFormatException e) {
            throw bad(field, "is not 16 hex digits");
        }
    }

    InetSocketAddress address(String field, String absent) throws BadConfig {
        String text = text(field, absent);
        return text == null ? null : parsed(field, text);
    }

    List<InetSocketAddress> addresses(String field) throws BadConfig {
        List<InetSocketAddress> all = new ArrayList<>();
        List<String> texts = texts(field);
        for (int i = 0; i < texts.size(); i++) {
            all.add(parsed(field + "[" + i + "]", texts.get(i)));
        }
        return all;
    }

    private InetSocketAddress parsed(String field, String text) throws BadConfig {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw bad(field, "is not an address with a port: " + text);
        }
        return address;
    }
}
