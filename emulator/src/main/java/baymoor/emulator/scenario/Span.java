package baymoor.emulator.scenario;

/** From the least to the most, both in the same unit (microseconds or bytes). A fixed quantity has both equal. */
public record Span(long least, long most) {

    /** A fixed quantity. */
    public static Span of(long fixed) {
        return new Span(fixed, fixed);
    }

    /** Halfway between the least and the most. */
    public long middle() {
        return (least + most) / 2;
    }

    /** The same with a factor on both ends. */
    public Span times(double factor) {
        return new Span((long) (least * factor), (long) (most * factor));
    }
}
