package baymoor.emulator.virtual;

import baymoor.emulator.engine.Engine;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What happened, a line an event: microseconds since the start, what, who, whom, and two figures, the second of which
 * is the CRC-32C of the bytes where there were any. Its SHA-256 is the run's fingerprint.
 */
public final class EventLog {

    private static final int FLUSH_AT = 1 << 15;

    private final Engine engine;
    private final MessageDigest digest;
    private final OutputStream out;
    private final StringBuilder lines = new StringBuilder(FLUSH_AT + 256);
    private long count;

    /** @param out gets the lines too, or null */
    public EventLog(Engine engine, OutputStream out) {
        this.engine = engine;
        this.out = out;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    void line(String what, String who, String whom, long figure, long sum) {
        count++;
        lines.append(engine.elapsed())
                .append(' ')
                .append(what)
                .append(' ')
                .append(who)
                .append(' ')
                .append(whom)
                .append(' ')
                .append(figure)
                .append(' ')
                .append(sum)
                .append('\n');
        if (lines.length() >= FLUSH_AT) {
            flush();
        }
    }

    private void flush() {
        byte[] bytes = lines.toString().getBytes(StandardCharsets.UTF_8);
        lines.setLength(0);
        digest.update(bytes);
        try {
            if (out != null) {
                out.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Lines written so far. */
    public long lines() {
        return count;
    }

    /** The SHA-256 of all lines; the log is at its end. */
    public String fingerprint() {
        flush();
        return HexFormat.of().formatHex(digest.digest());
    }
}
