package baymoor.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;

/** Encodes HTTP/1.1 requests. */
public final class RequestWriter {

    private static final String UNRESERVED = "-._~";

    private RequestWriter() {}

    /**
     * Encodes a request, with a Content-Length header if it has a body.
     *
     * @param headers further headers; names and values must not contain line breaks
     * @param body    the body, or null if there is none
     */
    public static byte[] request(String method, String target, String host, Map<String, String> headers, byte[] body) {
        byte[] head = head(method, target, host, headers, body);
        if (body == null) {
            return head;
        }
        byte[] encoded = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, encoded, head.length, body.length);
        return encoded;
    }

    /** Encodes the head of a request alone, with a Content-Length header if it has a body. */
    public static byte[] head(String method, String target, String host, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
                .append("\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    /** Percent-encodes a path segment; only unreserved characters stay as they are. */
    public static String encodePathSegment(String text) {
        StringBuilder out = new StringBuilder();
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            boolean unreserved =
                    b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || UNRESERVED.indexOf(b) >= 0;
            out.append(unreserved ? String.valueOf((char) b) : String.format("%%%02X", b & 0xff));
        }
        return out.toString();
    }
}
