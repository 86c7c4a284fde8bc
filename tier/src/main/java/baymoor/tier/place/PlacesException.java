package baymoor.tier.place;

/** A file of places that can't be used; the message is one line with file, line and field. */
public final class PlacesException extends Exception {

    private static final long serialVersionUID = 1L;

    PlacesException(String file, int line, String field, String problem) {
        super(file + ":" + line + ": " + field + " " + problem);
    }
}
