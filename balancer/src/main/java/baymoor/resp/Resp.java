package baymoor.resp;

import java.util.List;

/** A RESP2 value. */
public sealed interface Resp {

    /** A simple string, such as {@code +OK}. */
    record SimpleString(String text) implements Resp {}

    /** An error; {@code text} is without the leading minus. */
    record ErrorReply(String text) implements Resp {}

    /** An integer. */
    record IntegerReply(long number) implements Resp {}

    /** A bulk string; {@code bytes} is null for the null bulk string. */
    record BulkString(byte[] bytes) implements Resp {}

    /** A command that was skipped, and whose content was not kept. */
    record SkippedCommand() implements Resp {}

    /** An array; {@code items} is null for the null array. */
    record Array(List<Resp> items) implements Resp {}
}
