package baymoor.resp;

import java.util.List;

/** A RESP2 value. */
public sealed interface Resp {

    /** A line of plain text, such as {@code +OK}. */
    record Simple(String text) implements Resp {}

    /** An error line, without its leading minus. */
    record Failure(String text) implements Resp {}

    /** A whole number. */
    record Whole(long number) implements Resp {}

    /** A bulk string; {@code bytes} is null for the null one. */
    record Bulk(byte[] bytes) implements Resp {}

    /** An array; {@code items} is null for the null one. */
    record Many(List<Resp> items) implements Resp {}
}
