package merlinstep.simhost;

/** A wire line that can't be read; the text names the message and the field. */
final class MalformedLineException extends RuntimeException {

    private static final long serialVersionUID = 1;

    MalformedLineException(String messageType, String detail) {
        super(messageType + ": " + detail, null, false, false);
    }
}
