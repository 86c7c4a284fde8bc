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

    BadConfig error(String field, String problem) {
        return new BadConfig("config: " + path + field + " " + problem);
    }

    private <T> T get(String field, Class<T> type, String expected) throws BadConfig {
        Object value = object.opt(field);
        if (value == null || value == JSONObject.NULL) {
            return null;
        }
        if (!type.isInstance(value)) {
            throw error(field, "is not " + expected);
        }
        return type.cast(value);
    }

    private <T> T required(String field, T value) throws BadConfig {
        if (value == null) {
            throw error(field, "is missing");
        }
        return value;
    }

    Fields object(String field) throws BadConfig {
        JSONObject nested = get(field, JSONObject.class, "an object");
        return new Fields(path + field + ".", nested == null ? new JSONObject() : nested);
    }

    JSONObject jsonObject(String field) throws BadConfig {
        return get(field, JSONObject.class, "an object");
    }

    List<Fields> objects(String field) throws BadConfig {
        List<Fields> items = new ArrayList<>();
        JSONArray array = get(field, JSONArray.class, "a list");
        for (int i = 0; array != null && i < array.length(); i++) {
            if (!(array.opt(i) instanceof JSONObject item)) {
                throw error(field + "[" + i + "]", "is not an object");
            }
            items.add(new Fields(path + field + "[" + i + "].", item));
        }
        return items;
    }

    List<String> strings(String field) throws BadConfig {
        List<String> items = new ArrayList<>();
        JSONArray array = get(field, JSONArray.class, "a list");
        for (int i = 0; array != null && i < array.length(); i++) {
            if (!(array.opt(i) instanceof String item)) {
                throw error(field + "[" + i + "]", "is not text");
            }
            items.add(item);
        }
        return items;
    }

    String string(String field, String defaultValue) throws BadConfig {
        String value = get(field, String.class, "text");
        return value == null ? defaultValue : value;
    }

    String string(String field) throws BadConfig {
        return required(field, string(field, null));
    }

    long integer(String field, long defaultValue) throws BadConfig {
        Number value = get(field, Number.class, "a number");
        return value == null ? defaultValue : value.longValue();
    }

    long integer(String field) throws BadConfig {
        required(field, object.opt(field));
        return integer(field, 0);
    }

    double decimal(String field, double defaultValue) throws BadConfig {
        Number value = get(field, Number.class, "a number");
        return value == null ? defaultValue : value.doubleValue();
    }

    /** A whole number from {@code min} to {@code max}. */
    int intInRange(String field, int defaultValue, int min, int max) throws BadConfig {
        return checkRange(field, integer(field, defaultValue), min, max);
    }

    /** The same, where it has to be there. */
    int intInRange(String field, int min, int max) throws BadConfig {
        return checkRange(field, integer(field), min, max);
    }

    private int checkRange(String field, long value, int min, int max) throws BadConfig {
        if (value < min || value > max) {
            throw error(field, "is not from " + min + " to " + max);
        }
        return (int) value;
    }

    /** A whole number that has to be there. */
    long requiredAtLeast(String field, long min) throws BadConfig {
        long value = integer(field);
        if (value < min) {
            throw error(field, "is under " + min);
        }
        return value;
    }

    /** A time in microseconds, or whatever else can't be negative. */
    long nonNegativeInteger(String field, long defaultValue) throws BadConfig {
        return checkNonNegative(field, integer(field, defaultValue));
    }

    double nonNegativeDecimal(String field, double defaultValue) throws BadConfig {
        return checkNonNegative(field, decimal(field, defaultValue));
    }

    private <N extends Number> N checkNonNegative(String field, N value) throws BadConfig {
        if (value.doubleValue() < 0) {
            throw error(field, "is under 0");
        }
        return value;
    }

    boolean bool(String field) throws BadConfig {
        return Boolean.TRUE.equals(get(field, Boolean.class, "true or false"));
    }

    <T> T choice(String field, T defaultValue, Map<String, T> valuesByName) throws BadConfig {
        String name = string(field, null);
        if (name != null && !valuesByName.containsKey(name)) {
            throw error(
                    field,
                    "is none of " + valuesByName.keySet().stream().sorted().toList());
        }
        return name == null ? defaultValue : valuesByName.get(name);
    }

    /** A seed of 16 hex digits. */
    long hexSeed(String field) throws BadConfig {
        try {
            return Long.parseUnsignedLong(string(field), 16);
        } catch (NumberFormatException e) {
            throw error(field, "is not 16 hex digits");
        }
    }

    InetSocketAddress address(String field, String defaultValue) throws BadConfig {
        String text = string(field, defaultValue);
        return text == null ? null : parseAddress(field, text);
    }

    List<InetSocketAddress> addresses(String field) throws BadConfig {
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> texts = strings(field);
        for (int i = 0; i < texts.size(); i++) {
            addresses.add(parseAddress(field + "[" + i + "]", texts.get(i)));
        }
        return addresses;
    }

    private InetSocketAddress parseAddress(String field, String text) throws BadConfig {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw error(field, "is not an address with a port: " + text);
        }
        return address;
    }
}
