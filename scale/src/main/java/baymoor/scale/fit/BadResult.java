package baymoor.scale.fit;

/** A result file that can't be used for a fit; the message is one line that names the file. */
public final class BadResult extends Exception {

    private static final long serialVersionUID = 1L;

    public BadResult(String message) {
        super(message);
    }
}
