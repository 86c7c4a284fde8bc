package baymoor.config;

import baymoor.link.Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.json.JSONArray;
import org.json.JSONObject;

/**
 * Reads the typed fields of one JSON object. Fields that are absent or null take the given default or, in methods without one,
 * are an error, as is a value of the wrong type or out of range. Errors name the field by its full path.
 */
final class Fields {

    /** Prefix of the fields' names in error messages: empty, or ending in a dot. */
    private final String path;

    private final JSONObject object;

    Fields(String path, JSONObject object) {
        this.path = path;
        this.object = object;
    }

    /** Creates an exception that names a field and its problem. */
    ConfigException error(String field, String problem) {
        return new ConfigException("config: " + path + field + " " + problem);
    }

    private <T> T get(String field, Class<T> type, String expected) throws ConfigException {
        Object value = object.opt(field);
        if (value == null || value == JSONObject.NULL) {
            return null;
        }
        if (!type.isInstance(value)) {
            throw error(field, "is not " + expected);
        }
        return type.cast(value);
    }

    private <T> T required(String field, T value) throws ConfigException {
        if (value == null) {
            throw error(field, "is missing");
        }
        return value;
    }

    /** Returns a nested object, empty if it is absent. */
    Fields object(String field) throws ConfigException {
        JSONObject nested = get(field, JSONObject.class, "an object");
        return new Fields(path + field + ".", nested == null ? new JSONObject() : nested);
    }

    /** Returns a nested object as it is, or null if it is absent. */
    JSONObject jsonObject(String field) throws ConfigException {
        return get(field, JSONObject.class, "an object");
    }

    List<Fields> objects(String field) throws ConfigException {
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

    List<String> strings(String field) throws ConfigException {
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

    String string(String field, String defaultValue) throws ConfigException {
        String value = get(field, String.class, "text");
        return value == null ? defaultValue : value;
    }

    String string(String field) throws ConfigException {
        return required(field, string(field, null));
    }

    long integer(String field, long defaultValue) throws ConfigException {
        Number value = get(field, Number.class, "a number");
        return value == null ? defaultValue : value.longValue();
    }

    long integer(String field) throws ConfigException {
        required(field, object.opt(field));
        return integer(field, 0);
    }

    double decimal(String field, double defaultValue) throws ConfigException {
        Number value = get(field, Number.class, "a number");
        return value == null ? defaultValue : value.doubleValue();
    }

    /** Returns an integer from {@code min} to {@code max}; the default isn't exempt from this range. */
    int intInRange(String field, int defaultValue, int min, int max) throws ConfigException {
        return checkRange(field, integer(field, defaultValue), min, max);
    }

    /** Returns a required integer from {@code min} to {@code max}. */
    int intInRange(String field, int min, int max) throws ConfigException {
        return checkRange(field, integer(field), min, max);
    }

    private int checkRange(String field, long value, int min, int max) throws ConfigException {
        if (value < min || value > max) {
            throw error(field, "is not from " + min + " to " + max);
        }
        return (int) value;
    }

    /** Returns a required integer of at least {@code min}. */
    long requiredAtLeast(String field, long min) throws ConfigException {
        long value = integer(field);
        if (value < min) {
            throw error(field, "is under " + min);
        }
        return value;
    }

    /** Returns an integer that can't be negative, such as a duration in microseconds. */
    long nonNegativeInteger(String field, long defaultValue) throws ConfigException {
        return checkNonNegative(field, integer(field, defaultValue));
    }

    double nonNegativeDecimal(String field, double defaultValue) throws ConfigException {
        return checkNonNegative(field, decimal(field, defaultValue));
    }

    private <N extends Number> N checkNonNegative(String field, N value) throws ConfigException {
        if (value.doubleValue() < 0) {
            throw error(field, "is under 0");
        }
        return value;
    }

    /** Returns a boolean, false if it is absent. */
    boolean bool(String field) throws ConfigException {
        return Boolean.TRUE.equals(get(field, Boolean.class, "true or false"));
    }

    /** Returns the value that the field's text names. */
    <T> T choice(String field, T defaultValue, Map<String, T> valuesByName) throws ConfigException {
        String name = string(field, null);
        if (name != null && !valuesByName.containsKey(name)) {
            throw error(
                    field,
                    "is not one of " + valuesByName.keySet().stream().sorted().toList());
        }
        return name == null ? defaultValue : valuesByName.get(name);
    }

    /** Returns a required 64-bit seed, given in hexadecimal. */
    long hexSeed(String field) throws ConfigException {
        try {
            return Long.parseUnsignedLong(string(field), 16);
        } catch (NumberFormatException e) {
            throw error(field, "is not 16 hex digits");
        }
    }

    InetSocketAddress address(String field, String defaultValue) throws ConfigException {
        String text = string(field, defaultValue);
        return text == null ? null : parseAddress(field, text);
    }

    List<InetSocketAddress> addresses(String field) throws ConfigException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        List<String> texts = strings(field);
        for (int i = 0; i < texts.size(); i++) {
            addresses.add(parseAddress(field + "[" + i + "]", texts.get(i)));
        }
        return addresses;
    }

    private InetSocketAddress parseAddress(String field, String text) throws ConfigException {
        InetSocketAddress address = Address.parse(text);
        if (address == null) {
            throw error(field, "is not an address with a port: " + text);
        }
        return address;
    }
}
