package baymoor.resp;

/** Bytes that are not RESP2, or more of them than is taken; the connection can't be read any further. */
public final class RespException extends Exception {

    private static final long serialVersionUID = 1;

    public RespException(String message) {
        super(message, null, false, false);
    }
}
