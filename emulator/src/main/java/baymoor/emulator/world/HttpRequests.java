package baymoor.emulator.world;

import baymoor.http.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Takes HTTP/1.1 requests in any pieces, as far as a stand-in needs it: a length or no body, no chunks (RFC 9112,
 * sections 3 to 6). Lines, headers and bodies are bounded.
 */
final class HttpRequests {

    /** A request: its method, its target as sent, headers by their names in small letters, and its body. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    private static final int LONGEST_LINE = 8192;
    private static final int MOST_HEADERS = 100;
    private static final int LONGEST_BODY = 64 * 1024;

    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private byte[] bytes = new byte[0];
    private int at;
    private String[] start;
    private Map<String, String> headers = new HashMap<>();
    private int length = -1;

    void feed(byte[] more) {
        byte[] all = new byte[bytes.length - at + more.length];
        System.arraycopy(bytes, at, all, 0, bytes.length - at);
        System.arraycopy(more, 0, all, bytes.length - at, more.length);
        bytes = all;
        at = 0;
    }

    /** The next whole request, or null if more bytes are needed. */
    Request next() throws HttpException {
        while (at < bytes.length || length == 0) {
            if (length >= 0) {
                int take = Math.min(length - body.size(), bytes.length - at);
                body.write(bytes, at, take);
                at += take;
                if (body.size() < length) {
                    return null;
                }
                Request whole = new Request(start[0], start[1], headers, body.toByteArray());
                body.reset();
                headers = new HashMap<>();
                start = null;
                length = -1;
                return whole;
            }
            byte b = bytes[at++];
            if (b != '\n') {
                line.append((char) (b & 0xff));
                if (line.length() > LONGEST_LINE) {
                    throw new HttpException("line too long");
                }
                continue;
            }
            String text = line.toString().strip();
            line.setLength(0);
            line(text);
        }
        return null;
    }

    private void line(String text) throws HttpException {
        if (start == null) {
            if (!text.isEmpty()) { // an empty line before a request is passed over
                start = text.split(" ");
                if (start.length != 3 || !start[2].equals("HTTP/1.1")) {
                    throw new HttpException("not an HTTP/1.1 request line");
                }
            }
        } else if (text.isEmpty()) {
            try {
                length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            } catch (NumberFormatException e) {
                throw new HttpException("length is not a number");
            }
            if (length < 0 || length > LONGEST_BODY || headers.containsKey("transfer-encoding")) {
                throw new HttpException("body not taken");
            }
        } else {
            int colon = text.indexOf(':');
            if (colon <= 0 || headers.size() >= MOST_HEADERS) {
                throw new HttpException("malformed header");
            }
            headers.put(
                    text.substring(0, colon).toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).strip());
        }
    }

    /** A response with a stated length. {@code extra}: further header lines, each with its line end. */
    static byte[] response(int status, String reason, String extra, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Length: " + body.length + "\r\n" + extra
                        + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }
}
