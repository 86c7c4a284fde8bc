package merlinstep.simhost;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/**
 * One line of the wire, cut into fields in place. The same object serves every line, and numbers and known words are
 * read from the bytes: a string is made only where a value has to outlive the line.
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

    /** Takes the bytes from {@code start} to {@code end}, which stay the caller's. */
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

    boolean hasType(String type) {
        return matches(type, lineStart, typeEnd);
    }

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

    /** A word that occurs again and again, such as a class name: the same string each time. */
    String getInterned(String field, StringInterner interner) {
        int index = indexOf(field);
        return index < 0 ? "" : interner.intern(bytes, separators[index] + 1, fieldEnds[index]);
    }

    String getRequiredInterned(String field, StringInterner interner) {
        int index = requiredIndexOf(field);
        return interner.intern(bytes, separators[index] + 1, fieldEnds[index]);
    }

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
