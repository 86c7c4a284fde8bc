package baymoor.cli;

/** Ends a command with exit code 1 and one clear line. */
final class Failed extends RuntimeException {

    private static final long serialVersionUID = 1;

    Failed(String what) {
        super(what, null, false, false);
    }
}
