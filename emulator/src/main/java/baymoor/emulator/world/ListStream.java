package baymoor.emulator.world;

import baymoor.link.Link;
import baymoor.link.Time;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** The chunked answer of a watch: a line for each change, and an empty one while there are none. */
final class ListStream {

    private static final long HEARTBEAT_MICROS = 2_000_000;

    private final Link link;
    private final Time time;
    private final BooleanSupplier isOpen;
    private final BooleanSupplier heartbeatsEnabled;
    private long lastWriteAt;

    /**
     * @param open   whether it goes on; once it doesn't, no empty line comes any more
     * @param heartbeatsEnabled whether an empty line that is due comes
     */
    ListStream(Link link, Time time, BooleanSupplier isOpen, BooleanSupplier heartbeatsEnabled) {
        this.link = link;
        this.time = time;
        this.isOpen = isOpen;
        this.heartbeatsEnabled = heartbeatsEnabled;
    }

    /** The version that a call asks to be told from, 0 if it names none. */
    static long fromVersion(String target) {
        String number = target.replaceAll(".*[?&]from=([0-9]{1,18}).*", "$1");
        return number.matches("[0-9]+") ? Long.parseLong(number) : 0;
    }

    /** Begins with a first line; empty ones follow by themselves. */
    void open(byte[] first) {
        link.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        write(first);
        scheduleHeartbeat();
    }

    void write(byte[] line) {
        lastWriteAt = time.now();
        byte[] chunkHeader = (Integer.toHexString(line.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] chunk = new byte[chunkHeader.length + line.length + 2];
        System.arraycopy(chunkHeader, 0, chunk, 0, chunkHeader.length);
        System.arraycopy(line, 0, chunk, chunkHeader.length, line.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        link.write(chunk);
    }

    /** Empty lines from now on, until it stops speaking. */
    void scheduleHeartbeat() {
        time.after(HEARTBEAT_MICROS, () -> {
            if (isOpen.getAsBoolean()) {
                if (heartbeatsEnabled.getAsBoolean() && time.now() - lastWriteAt >= HEARTBEAT_MICROS) {
                    write(new byte[] {'\n'});
                }
                scheduleHeartbeat();
            }
        });
    }
}
