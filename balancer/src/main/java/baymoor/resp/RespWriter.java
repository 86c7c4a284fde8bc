package baymoor.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Encodes RESP2. */
public final class RespWriter {

    private static final byte[] END = {'\r', '\n'};

    private RespWriter() {}

    /** A command: an array of bulk strings. */
    public static byte[] command(byte[]... words) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("*" + words.length + "\r\n"));
        for (byte[] word : words) {
            out.writeBytes(bulk(word));
        }
        return out.toByteArray();
    }

    /** A bulk string. */
    public static byte[] bulk(byte[] content) {
        byte[] head = ascii("$" + content.length + "\r\n");
        byte[] all = new byte[head.length + content.length + END.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(content, 0, all, head.length, content.length);
        System.arraycopy(END, 0, all, head.length + content.length, END.length);
        return all;
    }

    /** The same again and again. */
    public static byte[] times(byte[] content, int count) {
        byte[] all = new byte[content.length * count];
        for (int i = 0; i < count; i++) {
            System.arraycopy(content, 0, all, i * content.length, content.length);
        }
        return all;
    }

    /** A simple string; line ends in it become blanks. */
    public static byte[] simple(String text) {
        return ascii("+" + oneLine(text) + "\r\n");
    }

    /** An error; line ends in it become blanks. */
    public static byte[] error(String text) {
        return ascii("-" + oneLine(text) + "\r\n");
    }

    /** The bytes of a text that is written into a command or an answer. */
    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String oneLine(String text) {
        return text.replace('\r', ' ').replace('\n', ' ');
    }
}
