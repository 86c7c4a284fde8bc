package baymoor.emulator.scenario;

/** Closed range in one unit (microseconds or bytes). A fixed quantity has equal bounds. */
public record Span(long least, long most) {

    /** Returns a range that contains one value. */
    public static Span of(long fixed) {
        return new Span(fixed, fixed);
    }

    /** Returns the midpoint, rounded down. */
    public long middle() {
        return (least + most) / 2;
    }

    /** Returns the range with both bounds multiplied by a factor. */
    public Span times(double factor) {
        return new Span((long) (least * factor), (long) (most * factor));
    }
}
