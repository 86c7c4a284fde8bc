package baymoor.scale.real;

import baymoor.link.Dialer;
import baymoor.link.Link;
import baymoor.link.LinkEvents;
import baymoor.resp.RespWriter;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Asks a balancer one thing on a connection of its own. */
final class Query implements LinkEvents {

    private static final String LINE_END = "\r\n";

    private final byte[] command;
    private final Consumer<String> answered;
    private final ByteArrayOutputStream heard = new ByteArrayOutputStream();
    private Link link;
    private String answer;

    private Query(String command, Consumer<String> answered) {
        this.command = RespWriter.command(RespWriter.utf8(command));
        this.answered = answered;
    }

    /** @param answered hears the answer's text, or null if there was none */
    static void ask(Dialer dialer, InetSocketAddress to, String command, Consumer<String> answered) {
        Query query = new Query(command, answered);
        query.link = dialer.dial(to, query);
    }

    @Override
    public void opened() {
        link.write(command);
    }

    @Override
    public void received(byte[] bytes) {
        heard.writeBytes(bytes);
        String text = heard.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf(LINE_END);
        if (end < 0 || answer != null) {
            return;
        }
        if (text.charAt(0) != '$') {
            answer = text.substring(1, end);
        } else {
            int length = Integer.parseInt(text.substring(1, end));
            int from = end + LINE_END.length();
            if (text.length() < from + length + LINE_END.length()) {
                return;
            }
            answer = text.substring(from, from + length);
        }
        link.close();
    }

    @Override
    public void written() {
        // The answer tells.
    }

    @Override
    public void closed() {
        answered.accept(answer);
    }
}
