package baymoor.resp;

/**
 * Thrown when input is not valid RESP2 or exceeds a size or nesting limit; the rest of the connection's input can't be
 * parsed.
 */
public final class RespException extends Exception {

    private static final long serialVersionUID = 1;

    public RespException(String message) {
        // Has no stack trace: any peer can cause it at will, and the message says what is wrong with the input.
        super(message, null, false, false);
    }
}
