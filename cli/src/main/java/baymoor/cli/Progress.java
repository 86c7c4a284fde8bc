package baymoor.cli;

import java.io.PrintWriter;

/** One line that is written over on a terminal; elsewhere nothing, so that logs stay short. */
final class Progress {

    private final PrintWriter out;
    private final boolean terminal = System.console() != null;
    private int width;

    Progress(PrintWriter out) {
        this.out = out;
    }

    boolean terminal() {
        return terminal;
    }

    void show(String text) {
        if (terminal) {
            out.print("\r" + text + " ".repeat(Math.max(0, width - text.length())));
            out.flush();
            width = text.length();
        }
    }

    /** Shows a line of its own where there is no terminal, too. */
    void line(String text) {
        if (terminal) {
            show(text);
        } else {
            out.println(text);
            out.flush();
        }
    }

    void clear() {
        show("");
        if (terminal) {
            out.print("\r");
            out.flush();
        }
    }
}
