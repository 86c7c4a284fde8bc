package baymoor.resp;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Parses RESP2 values incrementally; their sizes and depth are limited. */
public final class RespReader {

    /** The longest bulk string accepted, in bytes. */
    public static final int MAX_BULK_LENGTH = 64 * 1024;

    private static final int MAX_LINE_LENGTH = 1024;
    /** Rejects garbage in place of a length or integer early, without waiting for the end of its line. */
    static final int MAX_NUMBER_LENGTH = 24;

    static final int MAX_ARRAY_LENGTH = 64;
    private static final int MAX_ARRAY_DEPTH = 3;
    private static final int MAX_MESSAGE_LENGTH = MAX_BULK_LENGTH + 16 * 1024;
    private static final int INITIAL_CAPACITY = 512;

    private final boolean commandsOnly;
    private byte[] buffer = new byte[INITIAL_CAPACITY];
    private int start;
    private int end;
    private int position;
    /** Size of the current value up to the end of the bulk string that has been received in part. */
    private int requiredBytes;
    /** Consumes the command that is being skipped, or null. */
    private CommandSkipper skipper;

    private RespReader(boolean commandsOnly) {
        this.commandsOnly = commandsOnly;
    }

    /** Returns a parser of commands, which are non-empty arrays of bulk strings other than null. */
    public static RespReader ofCommands() {
        return new RespReader(true);
    }

    /** Returns a parser of replies, which may be values of any type. */
    public static RespReader ofReplies() {
        return new RespReader(false);
    }

    /** Appends received bytes to the input. */
    public void feed(byte[] more) {
        if (end + more.length > buffer.length) {
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            start = 0;
            if (end + more.length > buffer.length) {
                int doubled = Math.min(2 * buffer.length, MAX_MESSAGE_LENGTH);
                buffer = Arrays.copyOf(buffer, Math.max(doubled, end + more.length));
            }
        }
        System.arraycopy(more, 0, buffer, end, more.length);
        end += more.length;
    }

    /**
     * Parses the next value.
     *
     * @return the value, or null if more input is needed
     * @throws RespException if the input is not valid, or a limit is exceeded
     */
    public Resp next() throws RespException {
        if (skipper != null) {
            return nextWhileSkipping();
        }
        if (end - start < requiredBytes) {
            return null; // what comes before it need not be parsed again
        }
        position = start;
        requiredBytes = 0;
        Resp value = parseValue(0);
        if (value != null) {
            start = position;
            if (start == end) {
                start = 0;
                end = 0;
                // Releases the memory of a large value.
                buffer = buffer.length > MAX_BULK_LENGTH / 2 ? new byte[INITIAL_CAPACITY] : buffer;
            }
        } else if (end - start > MAX_MESSAGE_LENGTH || requiredBytes > MAX_MESSAGE_LENGTH) {
            throw new RespException("message too long");
        }
        return value;
    }

    /**
     * Returns the least size of the value that has been received in part, in bytes, as far as its lengths have been received;
     * 0 if there is none.
     */
    public int requiredBytes() {
        return skipper != null || start == end ? 0 : Math.max(requiredBytes, end - start + 1);
    }

    /** Returns how many bytes of the value that has been received in part are held. */
    public int heldBytes() {
        return end - start;
    }

    /** Makes the buffer as large as the value that has been received in part, so that it need not grow, or as small. */
    public void fitBuffer() {
        byte[] fitting = new byte[Math.max(INITIAL_CAPACITY, Math.max(requiredBytes(), end - start))];
        System.arraycopy(buffer, start, fitting, 0, end - start);
        end -= start;
        start = 0;
        buffer = fitting;
    }

    /** Skips the command that has been received in part: its content is not kept, and {@link #next} reports its end. */
    public void skipCommand() {
        skipper = new CommandSkipper(MAX_MESSAGE_LENGTH);
        requiredBytes = 0;
    }

    private Resp nextWhileSkipping() throws RespException {
        start += skipper.skip(buffer, start, end);
        boolean complete = skipper.isComplete();
        if (complete) {
            skipper = null;
        }
        fitBuffer();
        return complete ? new Resp.SkippedCommand() : null;
    }

    /** Returns whether part of the input belongs to no value returned so far. */
    public boolean hasPartialInput() {
        return skipper != null || end > start;
    }

    private Resp parseValue(int depth) throws RespException {
        if (position == end) {
            return null;
        }
        byte type = buffer[position];
        // Fails on an invalid first byte without waiting for the rest of its line.
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
            case '+' -> new Resp.SimpleString(line);
            case '-' -> new Resp.ErrorReply(line);
            case ':' -> new Resp.IntegerReply(parseNumber(line, Long.MIN_VALUE, Long.MAX_VALUE));
            case '$' -> parseBulk((int) parseNumber(line, commandsOnly ? 0 : -1, MAX_BULK_LENGTH));
            default -> parseArray((int) parseNumber(line, commandsOnly ? 1 : -1, MAX_ARRAY_LENGTH), depth);
        };
    }

    private Resp parseBulk(int length) throws RespException {
        if (length < 0) {
            return new Resp.BulkString(null);
        }
        if (end - position < length + 2) {
            requiredBytes = position + length + 2 - start;
            return null;
        }
        if (buffer[position + length] != '\r' || buffer[position + length + 1] != '\n') {
            throw new RespException("bulk string without its end");
        }
        byte[] content = Arrays.copyOfRange(buffer, position, position + length);
        position += length + 2;
        return new Resp.BulkString(content);
    }

    private Resp parseArray(int count, int depth) throws RespException {
        if (count < 0) {
            return new Resp.Array(null);
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
        return new Resp.Array(items);
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

    /** Parses ASCII digits with an optional minus; Long.parseLong alone would also accept a plus and other digits. */
    static long parseNumber(String line, long min, long max) throws RespException {
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
