package merlinstep.simhost;

import java.nio.charset.StandardCharsets;

/** Keeps one string for each word seen, found by its bytes. Bounded: past that, words are simply made anew. */
final class Words {

    private static final int TABLE = 1024;
    private static final int PROBES = 8;

    private final String[] table = new String[TABLE];

    String get(byte[] bytes, int from, int to) {
        int hash = 17;
        for (int i = from; i < to; i++) {
            hash = 31 * hash + bytes[i];
        }
        for (int p = 0; p < PROBES; p++) {
            int at = hash + p & TABLE - 1;
            String word = table[at];
            if (word == null) {
                table[at] = new String(bytes, from, to - from, StandardCharsets.UTF_8);
                return table[at];
            }
            if (same(word, bytes, from, to)) {
                return word;
            }
        }
        return new String(bytes, from, to - from, StandardCharsets.UTF_8);
    }

    private static boolean same(String word, byte[] bytes, int from, int to) {
        if (word.length() != to - from) {
            return false;
        }
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) != (char) (bytes[from + i] & 0xff) || bytes[from + i] < 0) {
                return false;
            }
        }
        return true;
    }
}
