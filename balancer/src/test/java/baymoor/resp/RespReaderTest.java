package baymoor.resp;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class RespReaderTest {

    /** Parses a text fed in chunks and formats the values, with {@code !} for an error. */
    private static String read(String text, boolean commandsOnly, int chunkLength) {
        RespReader reader = commandsOnly ? RespReader.ofCommands() : RespReader.ofReplies();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        List<String> parsed = new ArrayList<>();
        for (int offset = 0; offset < bytes.length; offset += chunkLength) {
            reader.feed(java.util.Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + chunkLength)));
            try {
                for (Resp r = reader.next(); r != null; r = reader.next()) {
                    parsed.add(format(r));
                }
            } catch (RespException e) {
                parsed.add("!");
                break;
            }
        }
        return String.join(" ", parsed);
    }

    private static String format(Resp r) {
        if (r instanceof Resp.Array m) {
            return m.items() == null
                    ? "[null]"
                    : m.items().stream().map(RespReaderTest::format).toList().toString();
        }
        return r instanceof Resp.BulkString b
                ? b.bytes() == null ? "null" : new String(b.bytes(), StandardCharsets.ISO_8859_1)
                : r instanceof Resp.SimpleString s
                        ? "+" + s.text()
                        : r instanceof Resp.ErrorReply f ? "-" + f.text() : ":" + ((Resp.IntegerReply) r).number();
    }

    @Test
    public void commandsAreParsedWholeAndByteByByte() {
        String[][] cases = {
            {"*1\r\n$4\r\nPING\r\n", "[PING]"},
            {"*2\r\n$1\r\na\r\n$0\r\n\r\n*1\r\n$1\r\nb\r\n", "[a, ] [b]"},
            {"*1\r\n$3\r\na\r\n\r\n", "[a\r\n]"},
            {"*1\r\n$4\r\nPI", ""},
            {"PING\r\n", "!"},
            {"*0\r\n", "!"},
            {"*-1\r\n", "!"},
            {"*1\r\n$-1\r\n", "!"},
            {"*1\r\n:5\r\n", "!"},
            {"*1\r\n$x\r\n", "!"},
            {"*1\r\n$65537\r\n", "!"},
            {"*65\r\n", "!"},
            {"*1\n", "!"},
            {"*1\r\n$1\r\nabc", "!"},
            {"*1\r\n$1\r\na\r\n*x\r\n", "[a] !"},
        };
        for (String[] c : cases) {
            assertEquals(c[0], c[1], read(c[0], true, 1 << 20));
            assertEquals("byte by byte: " + c[0], c[1], read(c[0], true, 1));
        }
    }

    @Test
    public void repliesAreParsedWholeAndByteByByte() {
        String[][] cases = {
            {"+OK\r\n-ERR no\r\n:-7\r\n", "+OK -ERR no :-7"},
            {"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n", "[v, hit, null]"},
            {"*3\r\n$-1\r\n$-1\r\n$-1\r\n", "[null, null, null]"},
            {"*-1\r\n", "[null]"},
            {"*1\r\n*1\r\n*1\r\n*1\r\n", "!"},
            {"?\r\n", "!"},
        };
        for (String[] c : cases) {
            assertEquals(c[0], c[1], read(c[0], false, 1 << 20));
            assertEquals("byte by byte: " + c[0], c[1], read(c[0], false, 1));
        }
    }

    @Test
    public void overlongLineIsRejected() throws RespException {
        RespReader reader = RespReader.ofReplies();
        reader.feed(("+" + "x".repeat(1000)).getBytes(StandardCharsets.US_ASCII));
        assertNull(reader.next());
        reader.feed("x".repeat(100).getBytes(StandardCharsets.US_ASCII));
        assertThrows(RespException.class, reader::next);
    }
}
