package baymoor.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Takes bytes in any pieces and gives whole RESP2 values; sizes are bounded. */
public final class RespReader {

    /** The longest value that the protocol allows. */
    public static final int MAX_BULK_LENGTH = 64 * 1024;

    private static final int MAX_LINE_LENGTH = 1024;
    /** Guards against noise behind a sign that promises a number: waiting on for its end would cost the request. */
    private static final int MAX_NUMBER_LENGTH = 24;

    private static final int MAX_ARRAY_LENGTH = 64;
    private static final int MAX_ARRAY_DEPTH = 3;
    private static final int MAX_MESSAGE_LENGTH = MAX_BULK_LENGTH + 16 * 1024;
    private static final int INITIAL_CAPACITY = 512;

    private final boolean commandsOnly;
    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int start;
    private int end;
    private int position;

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
        if (end + more.length > buffer.length) {
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            start = 0;
            if (end + more.length > buffer.length) {
                buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, end + more.length));
            }
        }
        System.arraycopy(more, 0, buffer, end, more.length);
        end += more.length;
    }

    /** The next whole value, or null if more bytes are needed. */
    public Resp next() throws RespException {
        position = start;
        Resp value = parseValue(0);
        if (value != null) {
            start = position;
            if (start == end) {
                start = 0;
                end = 0;
                // One large value must not keep its room for as long as the connection lives.
                buffer = buffer.length > MAX_BULK_LENGTH / 2 ? new byte[INITIAL_CAPACITY] : buffer;
            }
        } else if (end - start > MAX_MESSAGE_LENGTH) {
            throw new RespException("message too long");
        }
        return value;
    }

    /** Whether bytes are there that belong to no value given out so far. */
    public boolean pending() {
        return end > start;
    }

    private Resp parseValue(int depth) throws RespException {
        if (position == end) {
            return null;
        }
        byte type = buffer[position];
        // A wrong first byte is wrong however long its line will be.
        boolean expected = !commandsOnly || type == (depth == 0 ? '*' : '$');
        if (!expected || "+-:$*".indexOf(type) < 0) {
            throw new RespException(depth == 0 ? "expected '*'" : "expected '$'");
        }
        position++;
        String line = readLine(type == '+' || type == '-' ? MAX_LINE_LENGTH : MAX_NUMBER_LENGTH);
        if (line == null) {
            return null;
        }
        return switch (type) {
            case '+' -> new Resp.Simple(line);
            case '-' -> new Resp.Failure(line);
            case ':' -> new Resp.Whole(parseNumber(line, Long.MIN_VALUE, Long.MAX_VALUE));
            case '$' -> parseBulk((int) parseNumber(line, commandsOnly ? 0 : -1, MAX_BULK_LENGTH));
            default -> parseArray((int) parseNumber(line, commandsOnly ? 1 : -1, MAX_ARRAY_LENGTH), depth);
        };
    }

    private Resp parseBulk(int length) throws RespException {
        if (length < 0) {
            return new Resp.Bulk(null);
        }
        if (end - position < length + 2) {
            return null;
        }
        if (buffer[position + length] != '\r' || buffer[position + length + 1] != '\n') {
            throw new RespException("bulk string without its end");
        }
        byte[] content = Arrays.copyOfRange(buffer, position, position + length);
        position += length + 2;
        return new Resp.Bulk(content);
    }

    private Resp parseArray(int count, int depth) throws RespException {
        if (count < 0) {
            return new Resp.Many(null);
        }
        if (depth >= MAX_ARRAY_DEPTH) {
            throw new RespException("arrays too deep");
        }
        List<Resp> items = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Resp item = parseValue(depth + 1);
            if (item == null) {
                return null;
            }
            items.add(item);
        }
        return new Resp.Many(items);
    }

    private String readLine(int maxLength) throws RespException {
        for (int i = position; i < end; i++) {
            if (buffer[i] == '\n') {
                if (i == position || buffer[i - 1] != '\r') {
                    throw new RespException("line without its end");
                }
                String line = new String(buffer, position, i - 1 - position, StandardCharsets.UTF_8);
                position = i + 1;
                return line;
            }
            if (i - position > maxLength) {
                throw new RespException("line too long");
            }
        }
        return null;
    }

    /** Figures in ASCII with a minus at most: what else Java reads as a number is no length here. */
    private static long parseNumber(String line, long min, long max) throws RespException {
        boolean wellFormed = !line.isEmpty() && !line.equals("-");
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            wellFormed &= c >= '0' && c <= '9' || c == '-' && i == 0;
        }
        try {
            long value = wellFormed ? Long.parseLong(line) : Long.MAX_VALUE;
            if (wellFormed && value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new RespException("length out of range");
        }
        throw new RespException(wellFormed ? "length out of range" : "not a number");
    }
}
