package merlinstep.simhost;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * One line of the wire, cut into fields in place. The same object serves every line, and numbers and known words are
 * read from the bytes: a string is made only where a value has to outlive the line.
 */
final class Line {

    private static final int FIELDS = 32;
    private static final double[] NO_REPORT = {};

    private byte[] bytes;
    private int end;
    private int messageEnd;
    private int start;
    private int[] from = new int[FIELDS];
    private int[] equals = new int[FIELDS];
    private int[] to = new int[FIELDS];
    private int count;

    /** Takes the bytes from {@code start} to {@code end}, which stay the caller's. */
    void set(byte[] text, int first, int last) {
        bytes = text;
        start = first;
        end = last;
        count = 0;
        int at = first;
        while (at < last && text[at] != '\t') {
            at++;
        }
        messageEnd = at;
        while (at < last) {
            int fieldFrom = ++at;
            int sign = -1;
            for (; at < last && text[at] != '\t'; at++) {
                if (sign < 0 && text[at] == '=') {
                    sign = at;
                }
            }
            if (sign >= 0) {
                add(fieldFrom, sign, at);
            }
        }
    }

    private void add(int fieldFrom, int sign, int fieldTo) {
        if (count == from.length) {
            from = java.util.Arrays.copyOf(from, 2 * count);
            equals = java.util.Arrays.copyOf(equals, 2 * count);
            to = java.util.Arrays.copyOf(to, 2 * count);
        }
        from[count] = fieldFrom;
        equals[count] = sign;
        to[count++] = fieldTo;
    }

    boolean is(String message) {
        return same(message, start, messageEnd);
    }

    String message() {
        return new String(bytes, start, Math.min(messageEnd - start, 40), StandardCharsets.UTF_8);
    }

    private boolean same(String word, int first, int last) {
        if (word.length() != last - first) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (bytes[first + i] != word.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int find(String field) {
        for (int i = 0; i < count; i++) {
            if (same(field, from[i], equals[i])) {
                return i;
            }
        }
        return -1;
    }

    private int need(String field) {
        int i = find(field);
        if (i < 0) {
            throw new MalformedLine(message(), field);
        }
        return i;
    }

    int fields() {
        return count;
    }

    String name(int field) {
        return new String(bytes, from[field], equals[field] - from[field], StandardCharsets.UTF_8);
    }

    String value(int field) {
        return new String(bytes, equals[field] + 1, to[field] - equals[field] - 1, StandardCharsets.UTF_8);
    }

    boolean has(String field) {
        return find(field) >= 0;
    }

    long number(String field) {
        return parse(need(field), field);
    }

    long number(String field, long absent) {
        int i = find(field);
        return i < 0 ? absent : parse(i, field);
    }

    int small(String field, int most) {
        long n = number(field);
        if (n < 0 || n > most) {
            throw new MalformedLine(message(), field);
        }
        return (int) n;
    }

    private long parse(int i, String field) {
        int at = equals[i] + 1;
        int last = to[i];
        boolean negative = at < last && bytes[at] == '-';
        at += negative ? 1 : 0;
        if (at == last || last - at > 19) {
            throw new MalformedLine(message(), field);
        }
        long n = 0;
        for (; at < last; at++) {
            int digit = bytes[at] - '0';
            if (digit < 0 || digit > 9 || n > (Long.MAX_VALUE - digit) / 10) {
                throw new MalformedLine(message(), field);
            }
            n = 10 * n + digit;
        }
        return negative ? -n : n;
    }

    long hex(String field) {
        int i = find(field);
        if (i < 0) {
            return 0;
        }
        long n = 0;
        if (to[i] - equals[i] - 1 > 16 || to[i] == equals[i] + 1) {
            throw new MalformedLine(message(), field);
        }
        for (int at = equals[i] + 1; at < to[i]; at++) {
            int digit = Character.digit(bytes[at], 16);
            if (digit < 0) {
                throw new MalformedLine(message(), field);
            }
            n = n << 4 | digit;
        }
        return n;
    }

    double real(String field, double absent) {
        int i = find(field);
        if (i < 0) {
            return absent;
        }
        return real(i, equals[i] + 1, to[i], field);
    }

    private double real(int i, int first, int last, String field) {
        try {
            return Double.parseDouble(new String(bytes, first, last - first, StandardCharsets.ISO_8859_1));
        } catch (NumberFormatException e) {
            throw new MalformedLine(message(), field);
        }
    }

    boolean flag(String field) {
        int i = find(field);
        if (i < 0) {
            return false;
        }
        boolean one = to[i] - equals[i] == 2 && bytes[to[i] - 1] == '1';
        boolean zero = to[i] - equals[i] == 2 && bytes[to[i] - 1] == '0';
        if (!one && !zero) {
            throw new MalformedLine(message(), field);
        }
        return one;
    }

    String text(String field) {
        return value(need(field));
    }

    /** A word that occurs again and again, such as a class name: the same string each time. */
    String word(String field, Words words) {
        int i = find(field);
        return i < 0 ? "" : words.get(bytes, equals[i] + 1, to[i]);
    }

    String neededWord(String field, Words words) {
        int i = need(field);
        return words.get(bytes, equals[i] + 1, to[i]);
    }

    double[] report(String field) {
        int i = find(field);
        if (i < 0 || to[i] == equals[i] + 1) {
            return NO_REPORT;
        }
        int values = 1;
        for (int at = equals[i] + 1; at < to[i]; at++) {
            values += bytes[at] == ',' ? 1 : 0;
        }
        double[] report = new double[values];
        int first = equals[i] + 1;
        for (int v = 0; v < values; v++) {
            int last = first;
            while (last < to[i] && bytes[last] != ',') {
                last++;
            }
            report[v] = real(i, first, last, field);
            first = last + 1;
        }
        return report;
    }

    byte[] base64(String field) {
        String text = text(field);
        if (text.equals("-")) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedLine(message(), field);
        }
    }
}
