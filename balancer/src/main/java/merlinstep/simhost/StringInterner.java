package merlinstep.simhost;

import java.nio.charset.StandardCharsets;

/**
 * Caches decoded strings by their bytes, in a fixed-size hash table with linear probing. Entries are never evicted: a
 * string that finds no free slot is decoded again on each call. Not thread-safe.
 */
final class StringInterner {

    private static final int TABLE_SIZE = 1024;
    private static final int MAX_PROBES = 8;

    private final String[] table = new String[TABLE_SIZE];

    /** Returns the UTF-8 string at {@code bytes[start, end)}, shared with earlier calls where possible. */
    String intern(byte[] bytes, int start, int end) {
        int hash = 17;
        for (int i = start; i < end; i++) {
            hash = 31 * hash + bytes[i];
        }
        for (int probe = 0; probe < MAX_PROBES; probe++) {
            int slot = hash + probe & TABLE_SIZE - 1;
            String interned = table[slot];
            if (interned == null) {
                table[slot] = new String(bytes, start, end - start, StandardCharsets.UTF_8);
                return table[slot];
            }
            if (matches(interned, bytes, start, end)) {
                return interned;
            }
        }
        return new String(bytes, start, end - start, StandardCharsets.UTF_8);
    }

    /** Compares bytes with an ASCII string; strings with other characters never match. */
    private static boolean matches(String interned, byte[] bytes, int start, int end) {
        if (interned.length() != end - start) {
            return false;
        }
        for (int i = 0; i < interned.length(); i++) {
            if (interned.charAt(i) != (char) (bytes[start + i] & 0xff) || bytes[start + i] < 0) {
                return false;
            }
        }
        return true;
    }
}
