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
 * Writes one line for each event: microseconds since the start, event, actor, target, a number and the CRC-32C of the
 * bytes, or 0 without bytes. The SHA-256 of all lines identifies the run.
 */
public final class EventLog {

    private static final int FLUSH_THRESHOLD_CHARS = 1 << 15;

    private final Engine engine;
    private final MessageDigest digest;
    private final OutputStream out;
    private final StringBuilder buffer = new StringBuilder(FLUSH_THRESHOLD_CHARS + 256);
    private long lineCount;

    /** @param out receives the lines; may be null */
    public EventLog(Engine engine, OutputStream out) {
        this.engine = engine;
        this.out = out;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    void append(String event, String actor, String target, long value, long checksum) {
        lineCount++;
        buffer.append(engine.elapsedMicros())
                .append(' ')
                .append(event)
                .append(' ')
                .append(actor)
                .append(' ')
                .append(target)
                .append(' ')
                .append(value)
                .append(' ')
                .append(checksum)
                .append('\n');
        if (buffer.length() >= FLUSH_THRESHOLD_CHARS) {
            flush();
        }
    }

    private void flush() {
        byte[] bytes = buffer.toString().getBytes(StandardCharsets.UTF_8);
        buffer.setLength(0);
        digest.update(bytes);
        try {
            if (out != null) {
                out.write(bytes);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of lines so far. */
    public long lines() {
        return lineCount;
    }

    /** Returns the SHA-256 of all lines in hexadecimal; no line may be appended afterwards. */
    public String fingerprint() {
        flush();
        return HexFormat.of().formatHex(digest.digest());
    }
}
