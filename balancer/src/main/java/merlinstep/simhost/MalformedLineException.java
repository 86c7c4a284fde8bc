package merlinstep.simhost;

/** Signals a protocol line that can't be parsed; its text names the message type and the field or the problem. */
final class MalformedLineException extends RuntimeException {

    private static final long serialVersionUID = 1;

    MalformedLineException(String messageType, String detail) {
        super(messageType + ": " + detail, null, false, false);
    }
}
