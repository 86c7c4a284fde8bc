package merlinstep.simhost;

import java.nio.charset.StandardCharsets;

/** Keeps one string for each word seen, found by its bytes. Bounded: past that, words are simply made anew. */
final class StringInterner {

    private static final int TABLE_SIZE = 1024;
    private static final int MAX_PROBES = 8;

    private final String[] table = new String[TABLE_SIZE];

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
