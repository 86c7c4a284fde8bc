package baymoor.tier.message;

/** Thrown when a datagram is not a valid message of a supported version. Carries no stack trace. */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
