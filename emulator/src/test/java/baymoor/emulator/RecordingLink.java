package baymoor.emulator;

import baymoor.link.Link;
import java.nio.charset.StandardCharsets;

/** A link without a network that records the bytes written to it. */
public class RecordingLink implements Link {
    public final StringBuilder out = new StringBuilder();
    public boolean closed;

    @Override
    public void write(byte[] bytes) {
        out.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        closed = true;
    }

    @Override
    public void shutdownOutput(boolean evenIfUnread) {
        closed = true;
    }

    @Override
    public boolean hasUnreadBytes() {
        return false;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void setReading(boolean on) {}
}
