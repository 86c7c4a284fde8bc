package merlinstep.simhost;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;
import merlinstep.Decisions;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AskServers;
import merlinstep.Decisions.Cancel;
import merlinstep.Decisions.CloseIdle;
import merlinstep.Decisions.Fail;
import merlinstep.Decisions.Log;
import merlinstep.Decisions.Probe;
import merlinstep.Decisions.Refuse;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.TellPeer;
import merlinstep.Decisions.WatchServers;

/**
 * Encodes the actions of a round as protocol lines and buffers them, so that a round's reply is one write. Not
 * thread-safe.
 */
final class Reply implements Decisions.Sink {

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private byte[] bytes = new byte[INITIAL_BUFFER_BYTES];
    private int length;
    private int instanceId;

    /** Sets the instance to which the following actions belong. */
    void selectInstance(int id) {
        instanceId = id;
    }

    @Override
    public void accept(Action action) {
        if (action instanceof Send a) {
            beginMessage("DISPATCH")
                    .append("\ttxn=")
                    .append(a.request())
                    .append("\ttimeout=")
                    .append(a.timeoutMicros());
            append("\thost=").append(a.server()).endLine();
        } else if (action instanceof SetTimer a) {
            beginMessage("AFTER")
                    .append("\tkey_back=")
                    .append(a.token())
                    .append("\twait=")
                    .append(a.delayMicros())
                    .endLine();
        } else if (action instanceof TellPeer a) {
            beginMessage("WRITE_PEER")
                    .append("\twhom=")
                    .append(a.peer())
                    .append("\tcontent=")
                    .append(encodeBase64(a.content()))
                    .endLine();
        } else if (action instanceof Refuse a) {
            beginMessage("OVERLOAD_REPLY")
                    .append("\ttxn=")
                    .append(a.request())
                    .append("\tstay_away=")
                    .append(a.retryAfterMicros())
                    .endLine();
        } else if (action instanceof Fail a) {
            beginMessage("REPORT_FAILURE").append("\ttxn=").append(a.request()).endLine();
        } else if (action instanceof Cancel a) {
            beginMessage("REVOKE")
                    .append("\ttxn=")
                    .append(a.request())
                    .append("\tcopy=")
                    .append(a.attempt())
                    .endLine();
        } else if (action instanceof Probe a) {
            beginMessage("INSPECT").append("\thost=").append(a.server()).endLine();
        } else if (action instanceof CloseIdle a) {
            beginMessage("HANG_UP").append("\thost=").append(a.server()).endLine();
        } else if (action instanceof Log a) {
            beginMessage("RECORD").append("\twhat=").appendText(a.text()).endLine();
        } else if (action instanceof WatchServers a) {
            beginMessage("STREAM_CHANGES")
                    .append("\tenable=")
                    .append(a.on() ? 1 : 0)
                    .endLine();
        } else if (action instanceof AskServers) {
            beginMessage("SNAPSHOT").endLine();
        }
    }

    /** Appends the message that the selected instance has failed and was stopped. */
    void addInstanceFailure(String text) {
        beginMessage("BAIL_OUT").append("\twhat=").appendText(text).endLine();
    }

    /** Writes the buffered lines and the line that ends the reply, flushes the stream and empties the buffer. */
    void writeRound(OutputStream out) throws IOException {
        append("READY").endLine();
        out.write(bytes, 0, length);
        out.flush();
        length = 0;
    }

    private static String encodeBase64(byte[] content) {
        return content.length == 0 ? "-" : Base64.getEncoder().encodeToString(content);
    }

    private Reply beginMessage(String type) {
        return append(type).append("\tbalancer=").append(instanceId);
    }

    /** Appends ASCII text as is. */
    private Reply append(String text) {
        ensureCapacity(text.length());
        for (int i = 0; i < text.length(); i++) {
            bytes[length++] = (byte) text.charAt(i);
        }
        return this;
    }

    /** Appends text as UTF-8, with a space for each tab and line break. */
    private Reply appendText(String text) {
        byte[] utf8 =
                text.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        ensureCapacity(utf8.length);
        System.arraycopy(utf8, 0, bytes, length, utf8.length);
        length += utf8.length;
        return this;
    }

    private Reply append(long number) {
        if (number < 0) {
            return append(Long.toString(number));
        }
        ensureCapacity(20);
        int digits = 1;
        for (long n = number; n >= 10; n /= 10) {
            digits++;
        }
        for (int i = length + digits - 1; i >= length; i--) {
            bytes[i] = (byte) ('0' + number % 10);
            number /= 10;
        }
        length += digits;
        return this;
    }

    private void endLine() {
        ensureCapacity(1);
        bytes[length++] = '\n';
    }

    private void ensureCapacity(int additional) {
        if (length + additional > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + additional));
        }
    }
}
