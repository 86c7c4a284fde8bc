package baymoor.resp;

import java.util.List;

/** A RESP2 value. */
public sealed interface Resp {

    /** A simple string, such as {@code +OK}. */
    record Simple(String text) implements Resp {}

    /** An error; {@code text} is without the leading minus. */
    record Failure(String text) implements Resp {}

    /** An integer. */
    record Whole(long number) implements Resp {}

    /** A bulk string; {@code bytes} is null for the null bulk string. */
    record Bulk(byte[] bytes) implements Resp {}

    /** An array; {@code items} is null for the null array. */
    record Many(List<Resp> items) implements Resp {}
}
