package baymoor;

import baymoor.link.Link;
import baymoor.link.LinkEvents;
import java.nio.charset.StandardCharsets;

/** A connection without a socket: records what is written, and raises events only as the test directs. */
public final class FakeLink implements Link {
    public final StringBuilder out = new StringBuilder();
    public LinkEvents events;
    public boolean closed;
    /** Whether a write reports {@link LinkEvents#written} at once. */
    public boolean flushesImmediately;

    public boolean reading = true;
    public boolean unread;
    public int receiveWindow;
    public boolean discarding;
    public boolean over;
    public long acceptWaitMicros;

    @Override
    public void write(byte[] bytes) {
        out.append(new String(bytes, StandardCharsets.ISO_8859_1));
        if (events != null && flushesImmediately) {
            events.written();
        }
    }

    @Override
    public void close() {
        closed = true;
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        if (evenIfUnread || !unread) {
            closed = true;
            if (events != null) {
                events.outputShutDown();
            }
        }
    }

    @Override
    public boolean hasUnreadBytes() {
        return unread;
    }

    @Override
    public long acceptWaitMicros() {
        return acceptWaitMicros;
    }

    @Override
    public boolean isClosed() {
        return over;
    }

    @Override
    public void discardInput() {
        discarding = true;
    }

    @Override
    public void setReceiveWindow(int bytes) {
        receiveWindow = bytes;
    }

    @Override
    public void setReading(boolean on) {
        reading = on;
    }

    /** Delivers bytes to the state machine. */
    public void receive(String text) {
        events.received(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Returns what was written since the last call. */
    public String takeWritten() {
        String text = out.toString();
        out.setLength(0);
        return text;
    }
}
