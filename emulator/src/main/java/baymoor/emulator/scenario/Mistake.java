package baymoor.emulator.scenario;

/** Something wrong in a file, at a line and column counted from 1 (0 where there is none). */
public record Mistake(int line, int column, String what) {

    /** As compilers write it. */
    public String text(String file) {
        return file + ":" + (line > 0 ? line + ":" + column + ": " : " ") + what;
    }
}
