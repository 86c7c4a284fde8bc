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
    interface Listener {
        void onObject(String object);

        /** Something that can't be read, which may have told of anything. */
        void onMalformed();

        /** The end of a line that belongs to no unfinished object: the watch lives. */
        void onHeartbeat();
    }

    private final int maxObjectBytes;
    private final Listener listener;
    private final ByteArrayOutputStream object = new ByteArrayOutputStream();
    /** Where the present line of the object begins. */
    private int lineStart;

    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether this line holds what belongs to no object. */
    private boolean strayInput;

    /** @param maxObjectBytes bytes of an object at the most */
    ListLines(int maxObjectBytes, Listener listener) {
        this.maxObjectBytes = maxObjectBytes;
        this.listener = listener;
    }

    void feed(byte[] bytes) throws HttpException {
        for (byte b : bytes) {
            if (depth > 0 || b == '{') {
                feedObjectByte(b);
            } else if (b == '\n') {
                endLine();
            } else {
                strayInput |= b != ' ' && b != '\r' && b != '\t';
            }
            if (object.size() > maxObjectBytes) {
                throw new HttpException("line too long");
            }
        }
    }

    private void feedObjectByte(byte b) {
        if (b == '\n') {
            endObjectLine();
            return;
        }
        object.write(b);
        if (escaped) {
            escaped = false;
        } else if (b == '\\' && inString) {
            escaped = true;
        } else if (b == '"') {
            inString = !inString;
        } else if (!inString) {
            depth += b == '{' ? 1 : b == '}' ? -1 : 0;
            if (depth == 0) {
                String completeObject = object.toString(StandardCharsets.UTF_8);
                resetObject();
                listener.onObject(completeObject);
            }
        }
    }

    private void endObjectLine() {
        String lastLine =
                object.toString(StandardCharsets.UTF_8).substring(lineStart).trim();
        if (inString || lastLine.isEmpty()) {
            resetObject();
            strayInput = true;
            endLine();
        } else if (lineStart > 0 && isCompleteList(lastLine)) {
            resetObject();
            listener.onMalformed();
            listener.onObject(lastLine);
            endLine();
        } else {
            object.write(' ');
            lineStart = object.size();
        }
    }

    private void endLine() {
        if (strayInput) {
            strayInput = false;
            listener.onMalformed();
        }
        listener.onHeartbeat();
    }

    private void resetObject() {
        object.reset();
        lineStart = 0;
        depth = 0;
        inString = false;
        escaped = false;
    }

    /** Whether a line, which was taken for a part of an object, is one that says who is listed. */
    private static boolean isCompleteList(String text) {
        if (!text.startsWith("{") || !text.contains("\"endpoints\"")) {
            return false;
        }
        int openBraces = 0;
        boolean inString = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (inString && c == '\\') {
                i++;
            } else if (c == '"') {
                inString = !inString;
            } else if (!inString) {
                openBraces += c == '{' ? 1 : c == '}' ? -1 : 0;
            }
        }
        return openBraces == 0 && !inString;
    }
}
