package baymoor.resp;

import java.nio.charset.StandardCharsets;

/** Consumes one command without keeping its content; what {@link RespReader} would not accept fails here too. */
final class CommandSkipper {

    private static final int CRLF_LENGTH = 2;

    private final int maxBytes;
    private int consumedBytes;
    /** Bulk strings whose header has not been consumed; -1 before the header of the array. */
    private int remainingItems = -1;
    /** Bytes of the current bulk string with its line end, 0 between bulk strings. */
    private int remainingBulkBytes;

    /** @param maxBytes a command longer than this is not valid */
    CommandSkipper(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns whether the whole command has been consumed. */
    boolean isComplete() {
        return remainingItems == 0 && remainingBulkBytes == 0;
    }

    /**
     * Consumes input up to the end of the command.
     *
     * @return how many bytes of the input were consumed
     * @throws RespException if the input is not a valid command
     */
    int skip(byte[] input, int start, int end) throws RespException {
        int position = start;
        int before;
        do {
            before = position;
            position = remainingBulkBytes > 0 ? skipBulk(input, position, end) : skipHeader(input, position, end);
        } while (position > before && !isComplete());
        consumedBytes += position - start;
        if (consumedBytes > maxBytes) {
            throw new RespException("message too long");
        }
        return position - start;
    }

    private int skipBulk(byte[] input, int start, int end) throws RespException {
        int content = Math.min(remainingBulkBytes - CRLF_LENGTH, end - start);
        if (content > 0) {
            remainingBulkBytes -= content;
            return start + content;
        }
        if (end - start < CRLF_LENGTH) {
            return start;
        }
        if (input[start] != '\r' || input[start + 1] != '\n') {
            throw new RespException("bulk string without its end");
        }
        remainingBulkBytes = 0;
        return start + CRLF_LENGTH;
    }

    private int skipHeader(byte[] input, int start, int end) throws RespException {
        if (start == end) {
            return start;
        }
        char type = remainingItems < 0 ? '*' : '$';
        if (input[start] != type) {
            throw new RespException("expected '" + type + "'");
        }
        int lineEnd = start + 1;
        while (lineEnd < end && input[lineEnd] != '\n') {
            lineEnd++;
        }
        if (lineEnd - start > RespReader.MAX_NUMBER_LENGTH) {
            throw new RespException("line too long");
        }
        if (lineEnd == end) {
            return start;
        }
        if (input[lineEnd - 1] != '\r') {
            throw new RespException("line without its end");
        }
        String number = new String(input, start + 1, lineEnd - start - CRLF_LENGTH, StandardCharsets.UTF_8);
        if (remainingItems < 0) {
            remainingItems = (int) RespReader.parseNumber(number, 1, RespReader.MAX_ARRAY_LENGTH);
        } else {
            remainingItems--;
            remainingBulkBytes = (int) RespReader.parseNumber(number, 0, RespReader.MAX_BULK_LENGTH) + CRLF_LENGTH;
        }
        return lineEnd + 1;
    }
}
