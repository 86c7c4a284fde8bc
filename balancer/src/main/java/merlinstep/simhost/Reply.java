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

/** Gathers the actions of a round as wire lines and writes them in one piece. */
final class Reply implements Decisions.Sink {

    private static final int BUFFER = 1 << 16;

    private byte[] bytes = new byte[BUFFER];
    private int length;
    private int instance;

    /** The instance whose actions follow. */
    void open(int number) {
        instance = number;
    }

    @Override
    public void accept(Action action) {
        if (action instanceof Send a) {
            begin("DISPATCH").put("\ttxn=").put(a.request()).put("\ttimeout=").put(a.timeoutMicros());
            put("\thost=").put(a.server()).end();
        } else if (action instanceof SetTimer a) {
            begin("AFTER")
                    .put("\tkey_back=")
                    .put(a.token())
                    .put("\twait=")
                    .put(a.delayMicros())
                    .end();
        } else if (action instanceof TellPeer a) {
            begin("WRITE_PEER")
                    .put("\twhom=")
                    .put(a.peer())
                    .put("\tcontent=")
                    .put(encode(a.content()))
                    .end();
        } else if (action instanceof Refuse a) {
            begin("OVERLOAD_REPLY")
                    .put("\ttxn=")
                    .put(a.request())
                    .put("\tstay_away=")
                    .put(a.retryAfterMicros())
                    .end();
        } else if (action instanceof Fail a) {
            begin("REPORT_FAILURE").put("\ttxn=").put(a.request()).end();
        } else if (action instanceof Cancel a) {
            begin("REVOKE")
                    .put("\ttxn=")
                    .put(a.request())
                    .put("\tcopy=")
                    .put(a.attempt())
                    .end();
        } else if (action instanceof Probe a) {
            begin("INSPECT").put("\thost=").put(a.server()).end();
        } else if (action instanceof CloseIdle a) {
            begin("HANG_UP").put("\thost=").put(a.server()).end();
        } else if (action instanceof Log a) {
            begin("RECORD").put("\twhat=").putText(a.text()).end();
        } else if (action instanceof WatchServers a) {
            begin("STREAM_CHANGES").put("\tenable=").put(a.on() ? 1 : 0).end();
        } else if (action instanceof AskServers) {
            begin("SNAPSHOT").end();
        }
    }

    void bailOut(String text) {
        begin("BAIL_OUT").put("\twhat=").putText(text).end();
    }

    /** Writes the round's lines and the closing one, and flushes. */
    void finish(OutputStream out) throws IOException {
        put("READY").end();
        out.write(bytes, 0, length);
        out.flush();
        length = 0;
    }

    private static String encode(byte[] content) {
        return content.length == 0 ? "-" : Base64.getEncoder().encodeToString(content);
    }

    private Reply begin(String message) {
        return put(message).put("\tbalancer=").put(instance);
    }

    private Reply put(String text) {
        room(text.length());
        for (int i = 0; i < text.length(); i++) {
            bytes[length++] = (byte) text.charAt(i);
        }
        return this;
    }

    private Reply putText(String text) {
        byte[] utf =
                text.replace('\t', ' ').replace('\n', ' ').replace('\r', ' ').getBytes(StandardCharsets.UTF_8);
        room(utf.length);
        System.arraycopy(utf, 0, bytes, length, utf.length);
        length += utf.length;
        return this;
    }

    private Reply put(long number) {
        if (number < 0) {
            return put(Long.toString(number));
        }
        room(20);
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

    private void end() {
        room(1);
        bytes[length++] = '\n';
    }

    private void room(int more) {
        if (length + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + more));
        }
    }
}
