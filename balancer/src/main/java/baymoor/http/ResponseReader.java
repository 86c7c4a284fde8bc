package baymoor.http;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses one HTTP/1.1 response incrementally. The lengths of lines, the number of headers and the size of the buffered
 * body are limited.
 */
public final class ResponseReader {

    private enum State {
        STATUS_LINE,
        HEADERS,
        BODY,
        BODY_UNTIL_CLOSE,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        DONE
    }

    private static final int MAX_LINE_LENGTH = 8192;
    private static final int MAX_HEADERS = 100;
    private static final int SHORT_BODY_LENGTH = 1024;
    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int MIN_FINAL_STATUS = 200;

    private final int maxBodyLength;
    private final StringBuilder line = new StringBuilder();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Map<String, String> headers = new HashMap<>();
    private State state = State.STATUS_LINE;
    private int status;
    /** Header and trailer lines read so far, and interim responses. */
    private int headerCount;

    private long remaining;

    /**
     * Creates a parser of one response.
     *
     * @param maxBodyLength bytes of the body that are buffered at most until they are taken
     */
    public ResponseReader(int maxBodyLength) {
        this.maxBodyLength = maxBodyLength;
    }

    /**
     * Parses more bytes.
     *
     * @return the number of bytes consumed, which is less than the length only if the response is complete
     * @throws HttpException if the bytes are not a valid response, or a limit is exceeded
     */
    public int feed(byte[] bytes) throws HttpException {
        int position = 0;
        while (position < bytes.length && state != State.DONE) {
            if (state == State.BODY || state == State.CHUNK_DATA || state == State.BODY_UNTIL_CLOSE) {
                int available = bytes.length - position;
                int length = state == State.BODY_UNTIL_CLOSE ? available : (int) Math.min(remaining, available);
                if (body.size() + length > maxBodyLength) {
                    throw new HttpException("body is too long");
                }
                body.write(bytes, position, length);
                position += length;
                remaining -= length;
                if (remaining == 0 && state != State.BODY_UNTIL_CLOSE) {
                    state = state == State.BODY ? State.DONE : State.CHUNK_END;
                }
            } else {
                byte b = bytes[position++];
                if (b == '\n') {
                    int lineLength = line.length();
                    line.setLength(lineLength > 0 && line.charAt(lineLength - 1) == '\r' ? lineLength - 1 : lineLength);
                    String completeLine = line.toString();
                    line.setLength(0);
                    parseLine(completeLine);
                } else if (line.length() >= MAX_LINE_LENGTH) {
                    throw new HttpException("line is too long");
                } else {
                    line.append((char) (b & 0xff));
                }
            }
        }
        return position;
    }

    /** Handles the end of the connection's input, which completes a response without a stated length. */
    public void endOfInput() {
        if (state == State.BODY_UNTIL_CLOSE) {
            state = State.DONE;
        }
    }

    /**
     * Returns how many bytes the body will take: the stated length, or the limit once a body without one is no longer short; 0 before
     * a body.
     */
    public int requiredBodyBytes() {
        if (!headersComplete() || isComplete()) {
            return 0;
        }
        if (state == State.BODY) {
            return body.size() + (int) remaining;
        }
        return body.size() < SHORT_BODY_LENGTH ? body.size() + 1 : maxBodyLength;
    }

    /** Makes the body's buffer large enough for {@link #requiredBodyBytes}, so that it need not grow. */
    public void reserveBody() {
        ByteArrayOutputStream larger = new ByteArrayOutputStream(requiredBodyBytes());
        larger.writeBytes(body.toByteArray());
        body = larger;
    }

    /** Returns whether the status line and all headers have been read. */
    public boolean headersComplete() {
        return state.ordinal() > State.HEADERS.ordinal();
    }

    /** Returns whether the response is complete. */
    public boolean isComplete() {
        return state == State.DONE;
    }

    /** Returns whether the connection may carry another request after this response. */
    public boolean reusable() {
        return isComplete()
                && !"close".equalsIgnoreCase(header("connection"))
                && status >= MIN_FINAL_STATUS
                && (hasDelimitedBody() || status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED);
    }

    /** Returns whether the headers delimit the body, so that it does not extend to the end of the connection. */
    public boolean hasDelimitedBody() {
        return headers.containsKey("content-length") || headers.containsKey("transfer-encoding");
    }

    /** Returns the status code, or 0 before the status line has been read. */
    public int status() {
        return status;
    }

    /** Returns the value of a header by its name in lower case, or null if it is absent. */
    public String header(String name) {
        return headers.get(name);
    }

    /** Returns the part of the body received since the last call, and removes it from the buffer. */
    public byte[] takeBody() {
        byte[] taken = body.toByteArray();
        body.reset();
        return taken;
    }

    private void parseLine(String text) throws HttpException {
        switch (state) {
            case STATUS_LINE -> parseStatusLine(text);
            case HEADERS -> parseHeader(text, true);
            case CHUNK_SIZE -> {
                int semicolon = text.indexOf(';');
                remaining = parseLength((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
                state = remaining == 0 ? State.TRAILERS : State.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException("chunk data is not followed by a line break");
                }
                state = State.CHUNK_SIZE;
            }
            default -> parseHeader(text, false);
        }
    }

    private void parseStatusLine(String text) throws HttpException {
        boolean valid = text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
        if (!valid || headerCount > MAX_HEADERS) {
            throw new HttpException("malformed status line, or too many interim responses");
        }
        status = Integer.parseInt(text.substring(9, 12));
        state = State.HEADERS;
    }

    private void parseHeader(String text, boolean store) throws HttpException {
        if (text.isEmpty()) {
            state = store ? bodyState() : State.DONE;
            return;
        }
        int colon = text.indexOf(':');
        boolean validName = colon > 0 && text.chars().limit(colon).allMatch(c -> c > ' ' && c < 127);
        if (!validName || ++headerCount > MAX_HEADERS) {
            throw new HttpException(validName ? "too many headers" : "malformed header");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String previous = store ? headers.put(name, value) : null;
        // Guards against response splitting: with either length, the rest could be taken for another response.
        if (previous != null && !previous.equals(value) && name.equals("content-length")) {
            throw new HttpException("conflicting Content-Length headers");
        }
    }

    private State bodyState() throws HttpException {
        if (status < MIN_FINAL_STATUS) {
            headers.clear();
            headerCount++; // bounds the number of interim responses
            return State.STATUS_LINE;
        }
        if (status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED) {
            return State.DONE;
        }
        String coding = header("transfer-encoding");
        if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked") || headers.containsKey("content-length")) {
                throw new HttpException("unsupported Transfer-Encoding, or one beside a Content-Length");
            }
            return State.CHUNK_SIZE;
        }
        String length = header("content-length");
        if (length == null) {
            return State.BODY_UNTIL_CLOSE;
        }
        remaining = parseLength(length, 10);
        if (remaining > maxBodyLength) {
            throw new HttpException("Content-Length is too large");
        }
        return remaining == 0 ? State.DONE : State.BODY;
    }

    private static long parseLength(String text, int radix) throws HttpException {
        try {
            long value = Long.parseLong(text, radix);
            if (value >= 0 && value <= Integer.MAX_VALUE && text.matches("[0-9a-fA-F]+")) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new HttpException("length is not a number");
        }
        throw new HttpException("length out of range");
    }
}
