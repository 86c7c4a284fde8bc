package merlinstep.simhost;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * Parses one protocol line: a message type followed by tab-separated {@code name=value} fields.
 *
 * <p>The object is reused for every line and reads values directly from the input buffer, to avoid allocating a
 * string for each field. Fields without {@code =} are ignored. Accessors throw {@link MalformedLineException} if a
 * required field is missing or a value can't be parsed. Not thread-safe.
 */
final class ProtocolLine {

    private static final int INITIAL_FIELD_CAPACITY = 32;
    private static final double[] NO_VALUES = {};

    private byte[] bytes;
    private int lineEnd;
    private int typeEnd;
    private int lineStart;
    private int[] fieldStarts = new int[INITIAL_FIELD_CAPACITY];
    private int[] separators = new int[INITIAL_FIELD_CAPACITY];
    private int[] fieldEnds = new int[INITIAL_FIELD_CAPACITY];
    private int fieldCount;

    /**
     * Parses the line at {@code buffer[start, end)}. The buffer is not copied and must not change while this line is
     * in use.
     */
    void reset(byte[] buffer, int start, int end) {
        bytes = buffer;
        lineStart = start;
        lineEnd = end;
        fieldCount = 0;
        int position = start;
        while (position < end && buffer[position] != '\t') {
            position++;
        }
        typeEnd = position;
        while (position < end) {
            int fieldStart = ++position;
            int separator = -1;
            for (; position < end && buffer[position] != '\t'; position++) {
                if (separator < 0 && buffer[position] == '=') {
                    separator = position;
                }
            }
            if (separator >= 0) {
                addField(fieldStart, separator, position);
            }
        }
    }

    private void addField(int fieldStart, int separator, int fieldEnd) {
        if (fieldCount == fieldStarts.length) {
            fieldStarts = java.util.Arrays.copyOf(fieldStarts, 2 * fieldCount);
            separators = java.util.Arrays.copyOf(separators, 2 * fieldCount);
            fieldEnds = java.util.Arrays.copyOf(fieldEnds, 2 * fieldCount);
        }
        fieldStarts[fieldCount] = fieldStart;
        separators[fieldCount] = separator;
        fieldEnds[fieldCount++] = fieldEnd;
    }

    /** Returns whether the message type equals {@code type}, which must be ASCII. */
    boolean hasType(String type) {
        return matches(type, lineStart, typeEnd);
    }

    /** Returns the message type for error messages, truncated if it is long. */
    String messageType() {
        return new String(bytes, lineStart, Math.min(typeEnd - lineStart, 40), StandardCharsets.UTF_8);
    }

    private boolean matches(String expected, int start, int end) {
        if (expected.length() != end - start) {
            return false;
        }
        for (int i = 0; i < expected.length(); i++) {
            if (bytes[start + i] != expected.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private int indexOf(String field) {
        for (int i = 0; i < fieldCount; i++) {
            if (matches(field, fieldStarts[i], separators[i])) {
                return i;
            }
        }
        return -1;
    }

    private int requiredIndexOf(String field) {
        int index = indexOf(field);
        if (index < 0) {
            throw new MalformedLineException(messageType(), field);
        }
        return index;
    }

    int fieldCount() {
        return fieldCount;
    }

    String fieldName(int index) {
        return new String(bytes, fieldStarts[index], separators[index] - fieldStarts[index], StandardCharsets.UTF_8);
    }

    String fieldValue(int index) {
        return new String(
                bytes, separators[index] + 1, fieldEnds[index] - separators[index] - 1, StandardCharsets.UTF_8);
    }

    boolean hasField(String field) {
        return indexOf(field) >= 0;
    }

    long getLong(String field) {
        return parseLong(requiredIndexOf(field), field);
    }

    long getLong(String field, long defaultValue) {
        int index = indexOf(field);
        return index < 0 ? defaultValue : parseLong(index, field);
    }

    /** Returns the value of a required field, which must lie in 0..{@code max}. */
    int getBoundedInt(String field, int max) {
        long n = getLong(field);
        if (n < 0 || n > max) {
            throw new MalformedLineException(messageType(), field);
        }
        return (int) n;
    }

    private long parseLong(int index, String field) {
        int position = separators[index] + 1;
        int end = fieldEnds[index];
        boolean negative = position < end && bytes[position] == '-';
        position += negative ? 1 : 0;
        if (position == end || end - position > 19) {
            throw new MalformedLineException(messageType(), field);
        }
        long n = 0;
        for (; position < end; position++) {
            int digit = bytes[position] - '0';
            if (digit < 0 || digit > 9 || n > (Long.MAX_VALUE - digit) / 10) {
                throw new MalformedLineException(messageType(), field);
            }
            n = 10 * n + digit;
        }
        return negative ? -n : n;
    }

    /** Returns up to 16 hexadecimal digits as an unsigned 64-bit value, 0 if the field is absent. */
    long getHex(String field) {
        int index = indexOf(field);
        if (index < 0) {
            return 0;
        }
        long n = 0;
        if (fieldEnds[index] - separators[index] - 1 > 16 || fieldEnds[index] == separators[index] + 1) {
            throw new MalformedLineException(messageType(), field);
        }
        for (int position = separators[index] + 1; position < fieldEnds[index]; position++) {
            int digit = Character.digit(bytes[position], 16);
            if (digit < 0) {
                throw new MalformedLineException(messageType(), field);
            }
            n = n << 4 | digit;
        }
        return n;
    }

    double getDouble(String field, double defaultValue) {
        int index = indexOf(field);
        if (index < 0) {
            return defaultValue;
        }
        return parseDouble(index, separators[index] + 1, fieldEnds[index], field);
    }

    private double parseDouble(int index, int start, int end, String field) {
        try {
            return Double.parseDouble(new String(bytes, start, end - start, StandardCharsets.ISO_8859_1));
        } catch (NumberFormatException e) {
            throw new MalformedLineException(messageType(), field);
        }
    }

    /** Returns whether the field is {@code 1}; {@code 0} or an absent field is false, any other value malformed. */
    boolean getBoolean(String field) {
        int index = indexOf(field);
        if (index < 0) {
            return false;
        }
        boolean one = fieldEnds[index] - separators[index] == 2 && bytes[fieldEnds[index] - 1] == '1';
        boolean zero = fieldEnds[index] - separators[index] == 2 && bytes[fieldEnds[index] - 1] == '0';
        if (!one && !zero) {
            throw new MalformedLineException(messageType(), field);
        }
        return one;
    }

    String getString(String field) {
        return fieldValue(requiredIndexOf(field));
    }

    /**
     * Returns a value that recurs often, such as a class name, as a shared string; the empty string if the field is
     * absent.
     */
    String getInterned(String field, StringInterner interner) {
        int index = indexOf(field);
        return index < 0 ? "" : interner.intern(bytes, separators[index] + 1, fieldEnds[index]);
    }

    String getRequiredInterned(String field, StringInterner interner) {
        int index = requiredIndexOf(field);
        return interner.intern(bytes, separators[index] + 1, fieldEnds[index]);
    }

    /** Returns a comma-separated list of numbers; an empty array if the field is absent or empty. */
    double[] getDoubles(String field) {
        int index = indexOf(field);
        if (index < 0 || fieldEnds[index] == separators[index] + 1) {
            return NO_VALUES;
        }
        int size = 1;
        for (int position = separators[index] + 1; position < fieldEnds[index]; position++) {
            size += bytes[position] == ',' ? 1 : 0;
        }
        double[] values = new double[size];
        int start = separators[index] + 1;
        for (int v = 0; v < size; v++) {
            int end = start;
            while (end < fieldEnds[index] && bytes[end] != ',') {
                end++;
            }
            values[v] = parseDouble(index, start, end, field);
            start = end + 1;
        }
        return values;
    }

    /** Returns the decoded bytes of a required field; {@code -} stands for no bytes. */
    byte[] getBase64(String field) {
        String text = getString(field);
        if (text.equals("-")) {
            return new byte[0];
        }
        try {
            return Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw new MalformedLineException(messageType(), field);
        }
    }
}
