package baymoor.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Encodes RESP2 values. */
public final class RespWriter {

    private static final byte[] CRLF = {'\r', '\n'};

    private RespWriter() {}

    /** Encodes a command, as an array of bulk strings. */
    public static byte[] command(byte[]... arguments) {
        return beginCommand(arguments.length, arguments).toByteArray();
    }

    /** Encodes the first arguments of a command that has so many in all. */
    private static ByteArrayOutputStream beginCommand(int argumentCount, byte[]... firstArguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(utf8("*" + argumentCount + "\r\n"));
        for (byte[] argument : firstArguments) {
            out.writeBytes(bulk(argument));
        }
        return out;
    }

    /**
     * Encodes a command whose last argument is large, in parts that follow one another. The argument itself is one of them and is
     * not copied.
     */
    public static List<byte[]> commandParts(byte[] lastArgument, byte[]... otherArguments) {
        ByteArrayOutputStream head = beginCommand(otherArguments.length + 1, otherArguments);
        head.writeBytes(utf8("$" + lastArgument.length + "\r\n"));
        return List.of(head.toByteArray(), lastArgument, CRLF);
    }

    /** Encodes a bulk string. */
    public static byte[] bulk(byte[] content) {
        byte[] header = utf8("$" + content.length + "\r\n");
        byte[] encoded = new byte[header.length + content.length + CRLF.length];
        System.arraycopy(header, 0, encoded, 0, header.length);
        System.arraycopy(content, 0, encoded, header.length, content.length);
        System.arraycopy(CRLF, 0, encoded, header.length + content.length, CRLF.length);
        return encoded;
    }

    /** Returns {@code count} copies of an encoded value, one after another. */
    public static byte[] repeat(byte[] content, int count) {
        byte[] encoded = new byte[content.length * count];
        for (int i = 0; i < count; i++) {
            System.arraycopy(content, 0, encoded, i * content.length, content.length);
        }
        return encoded;
    }

    /** Encodes a simple string; line breaks in it become spaces. */
    public static byte[] simple(String text) {
        return utf8("+" + replaceLineBreaks(text) + "\r\n");
    }

    /** Encodes an error; line breaks in it become spaces. */
    public static byte[] error(String text) {
        return utf8("-" + replaceLineBreaks(text) + "\r\n");
    }

    /** Returns the UTF-8 bytes of a text, for use as an argument or a bulk string. */
    public static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String replaceLineBreaks(String text) {
        return text.replace('\r', ' ').replace('\n', ' ');
    }
}
