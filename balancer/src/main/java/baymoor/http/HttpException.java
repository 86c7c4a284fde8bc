package baymoor.http;

/** Bytes that are not an HTTP/1.1 answer, or more of them than is taken. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1;

    public HttpException(String message) {
        super(message, null, false, false);
    }
}
