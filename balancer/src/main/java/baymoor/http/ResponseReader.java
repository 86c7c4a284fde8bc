package baymoor.http;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Takes the bytes of one HTTP/1.1 answer in any pieces. Lines, headers and the body not yet taken are bounded. */
public final class ResponseReader {

    private enum Part {
        STATUS,
        HEADERS,
        BODY,
        BODY_TO_END,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        DONE
    }

    private static final int LONGEST_LINE = 8192;
    private static final int MOST_HEADERS = 100;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int FINAL = 200;

    private final int longestBody;
    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final Map<String, String> headers = new HashMap<>();
    private Part part = Part.STATUS;
    private int status;
    private int lines;
    private long left;

    public ResponseReader(int longestBody) {
        this.longestBody = longestBody;
    }

    /** Reads on and gives the number of bytes used: fewer than there are once the answer is whole. */
    public int feed(byte[] bytes) throws HttpException {
        int at = 0;
        while (at < bytes.length && part != Part.DONE) {
            if (part == Part.BODY || part == Part.CHUNK || part == Part.BODY_TO_END) {
                int most = bytes.length - at;
                int take = part == Part.BODY_TO_END ? most : (int) Math.min(left, most);
                if (body.size() + take > longestBody) {
                    throw new HttpException("body too long");
                }
                body.write(bytes, at, take);
                at += take;
                left -= take;
                if (left == 0 && part != Part.BODY_TO_END) {
                    part = part == Part.BODY ? Part.DONE : Part.CHUNK_END;
                }
            } else {
                byte b = bytes[at++];
                if (b == '\n') {
                    int length = line.length();
                    line.setLength(length > 0 && line.charAt(length - 1) == '\r' ? length - 1 : length);
                    String whole = line.toString();
                    line.setLength(0);
                    take(whole);
                } else if (line.length() >= LONGEST_LINE) {
                    throw new HttpException("line too long");
                } else {
                    line.append((char) (b & 0xff));
                }
            }
        }
        return at;
    }

    /** The connection ended: this completes an answer that has no stated length. */
    public void end() {
        if (part == Part.BODY_TO_END) {
            part = Part.DONE;
        }
    }

    /** Whether the status line and all headers have been read. */
    public boolean headed() {
        return part.ordinal() > Part.HEADERS.ordinal();
    }

    /** Whether the response has been read to its end. */
    public boolean whole() {
        return part == Part.DONE;
    }

    /** Whether the connection may carry another request after this answer. */
    public boolean reusable() {
        return whole()
                && !"close".equalsIgnoreCase(header("connection"))
                && status >= FINAL
                && (sized() || status == NO_CONTENT || status == NOT_MODIFIED);
    }

    /** Whether the answer itself tells where its body ends. */
    public boolean sized() {
        return headers.containsKey("content-length") || headers.containsKey("transfer-encoding");
    }

    /** The status code, 0 before the status line has been read. */
    public int status() {
        return status;
    }

    /** A header's value by its name in lower case, or null. */
    public String header(String name) {
        return headers.get(name);
    }

    /** The body so far, without what was taken before. */
    public byte[] takeBody() {
        byte[] taken = body.toByteArray();
        body.reset();
        return taken;
    }

    private void take(String text) throws HttpException {
        switch (part) {
            case STATUS -> status(text);
            case HEADERS -> header(text, true);
            case CHUNK_SIZE -> {
                int semicolon = text.indexOf(';');
                left = number((semicolon < 0 ? text : text.substring(0, semicolon)).trim(), 16);
                part = left == 0 ? Part.TRAILER : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new HttpException("chunk without its end");
                }
                part = Part.CHUNK_SIZE;
            }
            default -> header(text, false);
        }
    }

    private void status(String text) throws HttpException {
        boolean right = text.matches("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?");
        if (!right || lines > MOST_HEADERS) {
            throw new HttpException("not an HTTP/1.1 status line");
        }
        status = Integer.parseInt(text.substring(9, 12));
        part = Part.HEADERS;
    }

    private void header(String text, boolean keep) throws HttpException {
        if (text.isEmpty()) {
            part = keep ? bodyKind() : Part.DONE;
            return;
        }
        int colon = text.indexOf(':');
        boolean named = colon > 0 && text.chars().limit(colon).allMatch(c -> c > ' ' && c < 127);
        if (!named || ++lines > MOST_HEADERS) {
            throw new HttpException(named ? "too many headers" : "malformed header");
        }
        String name = text.substring(0, colon).toLowerCase(Locale.ROOT);
        String value = text.substring(colon + 1).trim();
        String before = keep ? headers.put(name, value) : null;
        // Two lengths that differ: whichever is believed, the body may be another answer's.
        if (before != null && !before.equals(value) && name.equals("content-length")) {
            throw new HttpException("two lengths");
        }
    }

    private Part bodyKind() throws HttpException {
        if (status < FINAL) {
            headers.clear();
            lines++; // an answer of nothing but 1xx never ends
            return Part.STATUS;
        }
        if (status == NO_CONTENT || status == NOT_MODIFIED) {
            return Part.DONE;
        }
        String coding = header("transfer-encoding");
        if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked") || headers.containsKey("content-length")) {
                throw new HttpException("unknown transfer coding, or a length beside it");
            }
            return Part.CHUNK_SIZE;
        }
        String length = header("content-length");
        if (length == null) {
            return Part.BODY_TO_END;
        }
        left = number(length, 10);
        if (left > longestBody) {
            throw new HttpException("body too long");
        }
        return left == 0 ? Part.DONE : Part.BODY;
    }

    private static long number(String text, int radix) throws HttpException {
        try {
            long n = Long.parseLong(text, radix);
            if (n >= 0 && n <= Integer.MAX_VALUE && text.matches("[0-9a-fA-F]+")) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new HttpException("length is not a number");
        }
        throw new HttpException("length out of range");
    }
}
