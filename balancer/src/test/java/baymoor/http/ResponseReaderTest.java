package baymoor.http;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.Test;

public class ResponseReaderTest {

    /** Parses a text fed in chunks; returns status, body, state and the number of unconsumed bytes, or {@code !} for an error. */
    private static String read(String text, int chunkLength) {
        ResponseReader reader = new ResponseReader(100);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        int consumed = 0;
        try {
            for (int offset = 0; offset < bytes.length; offset += chunkLength) {
                consumed += reader.feed(
                        java.util.Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + chunkLength)));
            }
        } catch (HttpException e) {
            return "!";
        }
        String incomplete = reader.isComplete() ? "" : " incomplete";
        reader.endOfInput();
        String outcome = reader.isComplete() ? reader.reusable() ? " reusable" : " close" : " truncated";
        String body = new String(reader.takeBody(), StandardCharsets.ISO_8859_1);
        return reader.status() + " " + body + incomplete + outcome
                + (consumed < bytes.length ? " +" + (bytes.length - consumed) : "");
    }

    @Test
    public void responsesAreParsedWholeAndByteByByte() {
        String[][] cases = {
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "200 abc reusable"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "200  reusable"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", "200 abc close"},
            {"HTTP/1.1 503 no\r\nContent-Length: 2\r\n\r\nnoHTTP", "503 no reusable +4"},
            {"HTTP/1.1 200 OK\r\n\r\nabc", "200 abc incomplete close"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "200 abc incomplete truncated"},
            {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
                "200 abcde reusable"
            },
            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", "!"},
            {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 none\r\n\r\n", "204  reusable"},
            {"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n", "!"},
            {"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101), "!"},
            {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "!"},
            {"HTTP/2 200\r\n\r\n", "!"},
            {"\r\n\r\n", "!"},
        };
        for (String[] c : cases) {
            assertEquals(c[0], c[1], read(c[0], 1 << 20));
            assertEquals(
                    "byte by byte: " + c[0],
                    c[1].replaceAll(" \\+.*", ""),
                    read(c[0], 1).replaceAll(" \\+.*", ""));
        }
    }

    @Test
    public void chunkedBodyIsReadIncrementally() throws HttpException {
        ResponseReader reader = new ResponseReader(10);
        reader.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"a\":1"
                .getBytes(StandardCharsets.US_ASCII));
        assertTrue(reader.headersComplete());
        assertEquals(6, reader.takeBody().length);
        reader.feed("\r\n9\r\n12345678\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(9, reader.takeBody().length);
        assertFalse(reader.isComplete());
    }

    @Test
    public void requestIsEncodedWithEscapedPathAndContentLength() {
        byte[] put = RequestWriter.request(
                "PUT", "/" + RequestWriter.encodePathSegment("a b/\u00e9"), "h:1", Map.of("X-A", "b"), new byte[] {'v'
                });
        assertEquals(
                "PUT /a%20b%2F%C3%A9 HTTP/1.1\r\nHost: h:1\r\nX-A: b\r\nContent-Length: 1\r\n\r\nv",
                new String(put, StandardCharsets.US_ASCII));
    }
}
