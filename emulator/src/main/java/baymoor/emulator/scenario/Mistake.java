package baymoor.emulator.scenario;

/**
 * An error in a configuration file.
 *
 * @param line   line, counted from 1, or 0 if it is unknown
 * @param column column, counted from 1, or 0 if it is unknown
 * @param what   description, which begins with the field's name
 */
public record Mistake(int line, int column, String what) {

    /** Returns the mistake in the form of a compiler message, {@code file:line:column: description}. */
    public String text(String file) {
        return file + ":" + (line > 0 ? line + ":" + column + ": " : " ") + what;
    }
}
