package baymoor.inventory;

import baymoor.http.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Takes a watch's bytes apart into the JSON objects that it tells, one to a line or indented over many. An object that was cut
 * off, or what is none, is spoilt: it ends where an empty line comes, a line breaks off inside a string, or a line is a whole
 * list by itself.
 */
final class ListLines {

    /** What a watch says. */
    interface Hearer {
        void told(String object);

        /** Something that can't be read, which may have told of anything. */
        void spoilt();

        /** The end of a line that belongs to no unfinished object: the watch lives. */
        void alive();
    }

    private final int longest;
    private final Hearer hearer;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    /** Where the present line of the object begins. */
    private int line;

    private int depth;
    private boolean quoted;
    private boolean escaped;
    /** Whether this line holds what belongs to no object. */
    private boolean strayed;

    /** @param longest bytes of an object at the most */
    ListLines(int longest, Hearer hearer) {
        this.longest = longest;
        this.hearer = hearer;
    }

    void feed(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (depth > 0 || b == '{') {
                within(b);
            } else if (b == '\n') {
                end();
            } else {
                strayed |= b != ' ' && b != '\r' && b != '\t';
            }
            if (object.size() > longest) {
                throw new HttpException("line too long");
            }
        }
    }

    private void within(byte b) {
        if (b == '\n') {
            lineEnds();
            return;
        }
        object.write(b);
        if (escaped) {
            escaped = false;
        } else if (b == '\\' && quoted) {
            escaped = true;
        } else if (b == '"') {
            quoted = !quoted;
        } else if (!quoted) {
            depth += b == '{' ? 1 : b == '}' ? -1 : 0;
            if (depth == 0) {
                String whole = object.toString(StandardCharsets.UTF_8);
                clear();
                hearer.told(whole);
            }
        }
    }

    private void lineEnds() {
        String last = object.toString(StandardCharsets.UTF_8).substring(line).trim();
        if (quoted || last.isEmpty()) {
            clear();
            strayed = true;
            end();
        } else if (line > 0 && wholeList(last)) {
            clear();
            hearer.spoilt();
            hearer.told(last);
            end();
        } else {
            object.write(' ');
            line = object.size();
        }
    }

    private void end() {
        if (strayed) {
            strayed = false;
            hearer.spoilt();
        }
        hearer.alive();
    }

    private void clear() {
        object.reset();
        line = 0;
        depth = 0;
        quoted = false;
        escaped = false;
    }

    /** Whether a line, which was taken for a part of an object, is one that says who is listed. */
    private static boolean wholeList(String text) {
        if (!text.startsWith("{") || !text.contains("\"endpoints\"")) {
            return false;
        }
        int open = 0;
        boolean within = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (within && c == '\\') {
                i++;
            } else if (c == '"') {
                within = !within;
            } else if (!within) {
                open += c == '{' ? 1 : c == '}' ? -1 : 0;
            }
        }
        return open == 0 && !within;
    }
}
