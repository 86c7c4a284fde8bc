package baymoor.config;

/** Thrown for an invalid configuration; the message is a single line that names the field. */
public final class ConfigException extends Exception {

    private static final long serialVersionUID = 1;

    public ConfigException(String message) {
        super(message, null, false, false);
    }
}
