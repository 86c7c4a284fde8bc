package baymoor.config;

/** A configuration that can't be used; the text is one plain line that names the field. */
public final class BadConfig extends Exception {

    private static final long serialVersionUID = 1;

    public BadConfig(String what) {
        super(what, null, false, false);
    }
}
