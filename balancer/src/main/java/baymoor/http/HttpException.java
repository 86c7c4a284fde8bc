package baymoor.http;

/** Thrown when a response is not valid HTTP/1.1 or exceeds a limit of the parser. */
public final class HttpException extends Exception {

    private static final long serialVersionUID = 1;

    public HttpException(String message) {
        super(message, null, false, false);
    }
}
