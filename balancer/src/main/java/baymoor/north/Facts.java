package baymoor.north;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads the words of a request: key, id, and the list of names and values. */
final class Facts {

    private static final int LONGEST_WORD = 256;
    private static final int LONGEST_LIST = 2048;
    /** What is written as a number elsewhere too; Java alone also reads 0x1p3 and 480d as numbers. */
    private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?([eE][-+]?[0-9]{1,3})?");

    private static final double LONGEST_MILLIS = 3_600_000;
    /** The client's clock started when it sent, its answer has to travel too: both ways' time at the least. */
    private static final long TRAVEL_MICROS = 2_000;

    /** A request that can't be taken; the text goes to the client. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1;

        Refused(String what) {
            super(what, null, false, false);
        }
    }

    private Facts() {}

    static ClientRequest read(byte[] key, byte[] id, byte[] list, byte[] value, Set<String> classes, long now)
            throws Refused {
        Map<String, String> facts = facts(list);
        String requestClass = facts.get("c");
        if (requestClass == null || !classes.contains(requestClass)) {
            throw new Refused("unknown class");
        }
        double waits = number(facts, "d", -1);
        if (waits < 0 || waits > LONGEST_MILLIS) {
            throw new Refused("d is missing or out of range");
        }
        double hint = number(facts, "h", 0);
        return new ClientRequest(
                word(id, "id"),
                word(key, "key"),
                requestClass,
                facts.getOrDefault("t", ""),
                value,
                facts,
                now + (long) (waits * 1000) - TRAVEL_MICROS,
                Math.max(0, (long) hint),
                Math.max(0, number(facts, "size", 0)),
                "1".equals(facts.get("r")));
    }

    private static Map<String, String> facts(byte[] list) throws Refused {
        String text = printable(list, LONGEST_LIST, "list of names and values");
        Map<String, String> facts = new LinkedHashMap<>();
        for (String pair : text.split(",", -1)) {
            int equals = pair.indexOf('=');
            if (equals <= 0 || facts.put(pair.substring(0, equals), pair.substring(equals + 1)) != null) {
                throw new Refused("malformed list of names and values");
            }
        }
        return facts;
    }

    private static double number(Map<String, String> facts, String name, double absent) throws Refused {
        String text = facts.get(name);
        if (text != null && !NUMBER.matcher(text).matches()) {
            throw new Refused(name + " is not a number");
        }
        try {
            double n = text == null ? absent : Double.parseDouble(text);
            if (Double.isFinite(n)) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new Refused(name + " is not a number");
        }
        throw new Refused(name + " is not a number");
    }

    private static String word(byte[] bytes, String what) throws Refused {
        String text = printable(bytes, LONGEST_WORD, what);
        if (text.indexOf(' ') >= 0) {
            throw new Refused("malformed " + what);
        }
        return text;
    }

    /** Guards against line ends that would become headers of their own at the origin. */
    private static String printable(byte[] bytes, int longest, String what) throws Refused {
        boolean right = bytes.length > 0 && bytes.length <= longest;
        for (byte b : bytes) {
            right &= b >= ' ' && b < 127;
        }
        if (!right) {
            throw new Refused("malformed " + what);
        }
        return new String(bytes, StandardCharsets.US_ASCII);
    }
}
