package baymoor.north;

/** The one final answer of a request. */
public sealed interface Answer {

    /** The value or receipt that a south side host made for this request. */
    record Served(byte[] value) implements Answer {}

    /** A back-off answer: trying again is harmless, after the given time where that is not 0. */
    record BackOff(long afterMicros) implements Answer {}

    /** Failed, without a promise. */
    record Failed() implements Answer {}
}
