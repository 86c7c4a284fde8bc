package baymoor.emulator.world;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Creates values and write receipts that name their request, so that a misdirected answer is detected. */
final class Values {

    private Values() {}

    /** Returns the value of a read, padded to a size in bytes. */
    static byte[] value(String key, String id, long size) {
        byte[] head = ("v " + key + " " + id + " ").getBytes(StandardCharsets.US_ASCII);
        byte[] value = Arrays.copyOf(head, (int) Math.max(head.length, size));
        Arrays.fill(value, head.length, value.length, (byte) '.');
        return value;
    }

    /** Returns the receipt of a write with its sequence number. */
    static byte[] receipt(String key, String id, long number) {
        return ("r " + key + " " + id + " " + number).getBytes(StandardCharsets.US_ASCII);
    }
}
