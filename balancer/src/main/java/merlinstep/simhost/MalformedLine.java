package merlinstep.simhost;

/** A wire line that can't be read; the text names the message and the field. */
final class MalformedLine extends RuntimeException {

    private static final long serialVersionUID = 1;

    MalformedLine(String message, String field) {
        super(message + ": " + field, null, false, false);
    }
}
