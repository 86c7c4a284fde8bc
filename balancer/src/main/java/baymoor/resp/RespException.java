package baymoor.resp;

/** Thrown when input is not valid RESP2 or exceeds a limit; the rest of the connection's input can't be parsed. */
public final class RespException extends Exception {

    private static final long serialVersionUID = 1;

    public RespException(String message) {
        super(message, null, false, false);
    }
}
