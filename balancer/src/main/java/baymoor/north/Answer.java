package baymoor.north;

/** The final response to a request. */
public sealed interface Answer {

    /** The request was served; {@code value} is the value or receipt that a host returned. */
    record Served(byte[] value) implements Answer {}

    /** The request was rejected and may be retried, after the given delay if that is not 0. */
    record BackOff(long afterMicros) implements Answer {}

    /** The request failed; whether it had an effect is unknown. */
    record Failed() implements Answer {}
}
