package baymoor.emulator.world;

import baymoor.http.HttpException;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Incremental parser of HTTP/1.1 requests (RFC 9112, sections 3 to 6). Supports bodies with a Content-Length but not
 * chunked ones; lines, headers and bodies are limited in size. Not thread-safe.
 */
final class HttpRequests {

    /**
     * A request.
     *
     * @param target  request target as sent
     * @param headers values by lower-case header name
     * @param body    body, empty if there is none
     */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    /** Longest request or header line in bytes. */
    private static final int MAX_LINE_LENGTH = 8192;

    private static final int MAX_HEADERS = 100;
    /** Longest body in bytes. */
    private static final int MAX_BODY_LENGTH = 64 * 1024;

    private final StringBuilder line = new StringBuilder();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private byte[] buffer = new byte[0];
    private int position;
    private String[] requestLine;
    private Map<String, String> headers = new HashMap<>();
    private int contentLength = -1;

    /** Adds received bytes. */
    void feed(byte[] input) {
        byte[] joined = new byte[buffer.length - position + input.length];
        System.arraycopy(buffer, position, joined, 0, buffer.length - position);
        System.arraycopy(input, 0, joined, buffer.length - position, input.length);
        buffer = joined;
        position = 0;
    }

    /**
     * Returns the next complete request, or null if more bytes are needed.
     *
     * @throws HttpException if the request is malformed, too large or not supported
     */
    Request next() throws HttpException {
        while (position < buffer.length || contentLength == 0) {
            if (contentLength >= 0) {
                int count = Math.min(contentLength - body.size(), buffer.length - position);
                body.write(buffer, position, count);
                position += count;
                if (body.size() < contentLength) {
                    return null;
                }
                Request request = new Request(requestLine[0], requestLine[1], headers, body.toByteArray());
                body.reset();
                headers = new HashMap<>();
                requestLine = null;
                contentLength = -1;
                return request;
            }
            byte b = buffer[position++];
            if (b != '\n') {
                line.append((char) (b & 0xff));
                if (line.length() > MAX_LINE_LENGTH) {
                    throw new HttpException("line too long");
                }
                continue;
            }
            String text = line.toString().strip();
            line.setLength(0);
            parseLine(text);
        }
        return null;
    }

    private void parseLine(String text) throws HttpException {
        if (requestLine == null) {
            if (!text.isEmpty()) { // RFC 9112, section 2.2: ignores empty lines before the request line
                requestLine = text.split(" ");
                if (requestLine.length != 3 || !requestLine[2].equals("HTTP/1.1")) {
                    throw new HttpException("not an HTTP/1.1 request line");
                }
            }
        } else if (text.isEmpty()) {
            try {
                contentLength = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            } catch (NumberFormatException e) {
                throw new HttpException("Content-Length is not a number");
            }
            if (contentLength < 0 || contentLength > MAX_BODY_LENGTH || headers.containsKey("transfer-encoding")) {
                throw new HttpException("body is too large or chunked");
            }
        } else {
            int colonIndex = text.indexOf(':');
            if (colonIndex <= 0 || headers.size() >= MAX_HEADERS) {
                throw new HttpException("malformed header");
            }
            headers.put(
                    text.substring(0, colonIndex).toLowerCase(Locale.ROOT),
                    text.substring(colonIndex + 1).strip());
        }
    }

    /**
     * Returns a response with a Content-Length.
     *
     * @param extraHeaders further header lines, each with its line end
     */
    static byte[] response(int status, String reason, String extraHeaders, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " " + reason + "\r\nContent-Length: " + body.length + "\r\n"
                        + extraHeaders + "\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        byte[] response = new byte[head.length + body.length];
        System.arraycopy(head, 0, response, 0, head.length);
        System.arraycopy(body, 0, response, head.length, body.length);
        return response;
    }
}
