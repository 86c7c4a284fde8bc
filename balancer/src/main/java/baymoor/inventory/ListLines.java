package baymoor.inventory;

import baymoor.http.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Splits a watch's byte stream into JSON objects, each on one line or indented over several. Truncated objects and input
 * outside of objects are reported as malformed. A truncated object ends at an empty line, at a line that breaks off inside a
 * string, or before a line that is a complete list by itself.
 */
final class ListLines {

    /** Receives the content of the stream. */
    interface Listener {
        /** Handles a complete object. */
        void onObject(String object);

        /** Handles input that was dropped as malformed; it may have contained any change. */
        void onMalformed();

        /** Handles the end of a line outside of objects, which shows that the watch is alive. */
        void onHeartbeat();
    }

    /** The bytes of an object; gives out a part of them without a copy of the whole. */
    private static final class ObjectBuffer extends ByteArrayOutputStream {
        String text(int from) {
            return new String(buf, from, count - from, StandardCharsets.UTF_8);
        }
    }

    private final int maxObjectBytes;
    private final Listener listener;
    private final ObjectBuffer object = new ObjectBuffer();
    /** Offset in {@link #object} of its current line. */
    private int lineStart;

    private int depth;
    private boolean inString;
    private boolean escaped;
    /** Whether the current line has input outside of objects. */
    private boolean strayInput;

    /** Creates a splitter for objects of at most {@code maxObjectBytes} bytes. */
    ListLines(int maxObjectBytes, Listener listener) {
        this.maxObjectBytes = maxObjectBytes;
        this.listener = listener;
    }

    /**
     * Consumes the next bytes of the stream.
     *
     * @throws HttpException if an object is longer than allowed
     */
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
                throw new HttpException("object too long");
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
                String completeObject = object.text(0);
                resetObject();
                listener.onObject(completeObject);
            }
        }
    }

    private void endObjectLine() {
        String lastLine = object.text(lineStart).trim();
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

    /** Returns whether a line inside an object is a complete list by itself, so that the object before it was truncated. */
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
