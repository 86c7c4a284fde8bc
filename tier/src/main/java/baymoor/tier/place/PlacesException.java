package baymoor.tier.place;

/** Thrown when a places file is invalid. The message is a single line with the file, the line and the field. */
public final class PlacesException extends Exception {

    private static final long serialVersionUID = 1L;

    PlacesException(String file, int line, String field, String problem) {
        super(file + ":" + line + ": " + field + " " + problem);
    }
}
