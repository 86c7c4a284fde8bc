package baymoor.north;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Parses the arguments of a request command: the key, the id, and the list of comma-separated name=value pairs. */
final class RequestParser {

    private static final int MAX_WORD_LENGTH = 256;
    private static final int MAX_LIST_LENGTH = 2048;
    /** A plain decimal number; Double.parseDouble alone would also accept forms like 0x1p3 and 480d. */
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,3})?");

    private static final double MAX_TIMEOUT_MILLIS = 3_600_000;
    /** Subtracted from deadlines, since a client's timeout covers the network's delay in both directions. */
    private static final long MIN_ROUND_TRIP_MICROS = 2_000;

    /** Thrown for an invalid request; the message is sent to the client. */
    static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidRequestException(String message) {
            super(message, null, false, false);
        }
    }

    private RequestParser() {}

    /**
     * Parses a request.
     *
     * @param list           the names and values, of which {@code c} (class) and {@code d} (timeout in ms) are required
     * @param value          the value of a write, null for a read
     * @param requestClasses the names of the known classes
     * @param receivedMicros the time from which the request's timeout counts
     * @throws InvalidRequestException if an argument is malformed or out of range
     */
    static ClientRequest parse(
            byte[] key, byte[] id, byte[] list, byte[] value, Set<String> requestClasses, long receivedMicros)
            throws InvalidRequestException {
        String facts = parsePrintable(list, MAX_LIST_LENGTH, "list of names and values");
        Map<String, String> pairs = parsePairs(facts);
        String requestClass = pairs.get("c");
        if (requestClass == null || !requestClasses.contains(requestClass)) {
            throw new InvalidRequestException("unknown class");
        }
        double timeoutMillis = parseNumber(pairs, "d", -1);
        if (timeoutMillis < 0 || timeoutMillis > MAX_TIMEOUT_MILLIS) {
            throw new InvalidRequestException("d is missing or out of range");
        }
        double workMicros = parseNumber(pairs, "h", 0);
        return new ClientRequest(
                parseWord(id, "id"),
                parseWord(key, "key"),
                requestClass,
                pairs.getOrDefault("t", ""),
                value,
                facts,
                receivedMicros + (long) (timeoutMillis * 1000) - MIN_ROUND_TRIP_MICROS,
                Math.max(0, (long) workMicros),
                Math.max(0, parseNumber(pairs, "size", 0)),
                "1".equals(pairs.get("r")));
    }

    private static Map<String, String> parsePairs(String facts) throws InvalidRequestException {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : facts.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals <= 0 || pairs.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
                throw new InvalidRequestException("malformed list of names and values");
            }
        }
        return pairs;
    }

    private static double parseNumber(Map<String, String> pairs, String name, double absent)
            throws InvalidRequestException {
        String text = pairs.get(name);
        if (text != null && !NUMBER.matcher(text).matches()) {
            throw new InvalidRequestException(name + " is not a number");
        }
        try {
            double value = text == null ? absent : Double.parseDouble(text);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new InvalidRequestException(name + " is not a number");
        }
        throw new InvalidRequestException(name + " is not a number");
    }

    private static String parseWord(byte[] bytes, String field) throws InvalidRequestException {
        String text = parsePrintable(bytes, MAX_WORD_LENGTH, field);
        if (text.indexOf(' ') >= 0) {
            throw new InvalidRequestException("malformed " + field);
        }
        return text;
    }

    /** Accepts printable ASCII only, so that no line break can inject a header into a request to the origin. */
    private static String parsePrintable(byte[] bytes, int maxLength, String field) throws InvalidRequestException {
        boolean valid = bytes.length > 0 && bytes.length <= maxLength;
        for (byte b : bytes) {
            valid &= b >= ' ' && b < 127;
        }
        if (!valid) {
            throw new InvalidRequestException("malformed " + field);
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
