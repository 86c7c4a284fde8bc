package baymoor.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Takes bytes in any pieces and gives whole RESP2 values; sizes are bounded. */
public final class RespReader {

    /** The longest value that the protocol allows. */
    public static final int LONGEST_BULK = 64 * 1024;

    private static final int LONGEST_LINE = 1024;
    /** Guards against noise behind a sign that promises a number: waiting on for its end would cost the request. */
    private static final int LONGEST_NUMBER = 24;

    private static final int MOST_ITEMS = 64;
    private static final int DEEPEST = 3;
    private static final int LONGEST_MESSAGE = LONGEST_BULK + 16 * 1024;
    private static final int FIRST_ROOM = 512;

    private final boolean commandsOnly;
    private byte[] bytes = new byte[FIRST_ROOM];
    private int from;
    private int to;
    private int at;

    private RespReader(boolean commandsOnly) {
        this.commandsOnly = commandsOnly;
    }

    /** A reader of commands: arrays of bulk strings that are not null, and nothing else. */
    public static RespReader ofCommands() {
        return new RespReader(true);
    }

    /** A reader of any answers. */
    public static RespReader ofAnswers() {
        return new RespReader(false);
    }

    /** Adds bytes that came in behind those fed before. */
    public void feed(byte[] more) {
        if (to + more.length > bytes.length) {
            System.arraycopy(bytes, from, bytes, 0, to - from);
            to -= from;
            from = 0;
            if (to + more.length > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, to + more.length));
            }
        }
        System.arraycopy(more, 0, bytes, to, more.length);
        to += more.length;
    }

    /** The next whole value, or null if more bytes are needed. */
    public Resp next() throws RespException {
        at = from;
        Resp value = value(0);
        if (value != null) {
            from = at;
            if (from == to) {
                from = 0;
                to = 0;
                // One large value must not keep its room for as long as the connection lives.
                bytes = bytes.length > LONGEST_BULK / 2 ? new byte[FIRST_ROOM] : bytes;
            }
        } else if (to - from > LONGEST_MESSAGE) {
            throw new RespException("message too long");
        }
        return value;
    }

    /** Whether bytes are there that belong to no value given out so far. */
    public boolean pending() {
        return to > from;
    }

    private Resp value(int depth) throws RespException {
        if (at == to) {
            return null;
        }
        byte type = bytes[at];
        // A wrong first byte is wrong however long its line will be.
        boolean wanted = !commandsOnly || type == (depth == 0 ? '*' : '$');
        if (!wanted || "+-:$*".indexOf(type) < 0) {
            throw new RespException(depth == 0 ? "expected '*'" : "expected '$'");
        }
        at++;
        String line = line(type == '+' || type == '-' ? LONGEST_LINE : LONGEST_NUMBER);
        if (line == null) {
            return null;
        }
        return switch (type) {
            case '+' -> new Resp.Simple(line);
            case '-' -> new Resp.Failure(line);
            case ':' -> new Resp.Whole(number(line, Long.MIN_VALUE, Long.MAX_VALUE));
            case '$' -> bulk((int) number(line, commandsOnly ? 0 : -1, LONGEST_BULK));
            default -> many((int) number(line, commandsOnly ? 1 : -1, MOST_ITEMS), depth);
        };
    }

    private Resp bulk(int length) throws RespException {
        if (length < 0) {
            return new Resp.Bulk(null);
        }
        if (to - at < length + 2) {
            return null;
        }
        if (bytes[at + length] != '\r' || bytes[at + length + 1] != '\n') {
            throw new RespException("bulk string without its end");
        }
        byte[] content = Arrays.copyOfRange(bytes, at, at + length);
        at += length + 2;
        return new Resp.Bulk(content);
    }

    private Resp many(int count, int depth) throws RespException {
        if (count < 0) {
            return new Resp.Many(null);
        }
        if (depth >= DEEPEST) {
            throw new RespException("arrays too deep");
        }
        List<Resp> items = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Resp item = value(depth + 1);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new Resp.Many(items);
    }

    private String line(int longest) throws RespException {
        for (int i = at; i < to; i++) {
            if (bytes[i] == '\n') {
                if (i == at || bytes[i - 1] != '\r') {
                    throw new RespException("line without its end");
                }
                String line = new String(bytes, at, i - 1 - at, StandardCharsets.UTF_8);
                at = i + 1;
                return line;
            }
            if (i - at > longest) {
                throw new RespException("line too long");
            }
        }
        return null;
    }

    /** Figures in ASCII with a minus at most: what else Java reads as a number is no length here. */
    private static long number(String line, long least, long most) throws RespException {
        boolean figures = !line.isEmpty() && !line.equals("-");
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            figures &= c >= '0' && c <= '9' || c == '-' && i == 0;
        }
        try {
            long n = figures ? Long.parseLong(line) : Long.MAX_VALUE;
            if (figures && n >= least && n <= most) {
                return n;
            }
        } catch (NumberFormatException e) {
            throw new RespException("length out of range");
        }
        throw new RespException(figures ? "length out of range" : "not a number");
    }
}
