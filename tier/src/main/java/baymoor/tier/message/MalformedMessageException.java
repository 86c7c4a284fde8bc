package baymoor.tier.message;

/** A datagram that is no message of any version understood here. */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
