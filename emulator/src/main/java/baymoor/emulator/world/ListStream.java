package baymoor.emulator.world;

import baymoor.link.Link;
import baymoor.link.Time;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/**
 * The chunked HTTP response of a watch: a line of JSON for each batch of changes, and an empty line as a heartbeat
 * while there are none. Not thread-safe: all calls come from the thread of its {@link Time}.
 */
final class ListStream {

    private static final long HEARTBEAT_MICROS = 2_000_000;

    private final Link link;
    private final Time time;
    private final BooleanSupplier isOpen;
    private final BooleanSupplier heartbeatsEnabled;
    private long lastWriteAt;

    /**
     * @param isOpen            whether the watch is open; heartbeats stop for good once it is not
     * @param heartbeatsEnabled whether heartbeats are sent at present
     */
    ListStream(Link link, Time time, BooleanSupplier isOpen, BooleanSupplier heartbeatsEnabled) {
        this.link = link;
        this.time = time;
        this.isOpen = isOpen;
        this.heartbeatsEnabled = heartbeatsEnabled;
    }

    /** Returns the version after which a call asks for changes, or 0 if it names none. */
    static long fromVersion(String target) {
        String number = target.replaceAll(".*[?&]from=([0-9]{1,18}).*", "$1");
        return number.matches("[0-9]+") ? Long.parseLong(number) : 0;
    }

    /** Writes the response header and the first line, and starts the heartbeats. */
    void open(byte[] first) {
        link.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        write(first);
        scheduleHeartbeat();
    }

    /** Writes a line as one chunk. */
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

    /** Schedules heartbeats until the watch ends. */
    void scheduleHeartbeat() {
        time.schedule(HEARTBEAT_MICROS, () -> {
            if (isOpen.getAsBoolean()) {
                if (heartbeatsEnabled.getAsBoolean() && time.now() - lastWriteAt >= HEARTBEAT_MICROS) {
                    write(new byte[] {'\n'});
                }
                scheduleHeartbeat();
            }
        });
    }
}
