package baymoor.emulator.world;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The values that stand-ins make: each names the request that it was made for, so that a mix-up shows. */
final class Values {

    private Values() {}

    static byte[] value(String key, String id, long size) {
        byte[] head = ("v " + key + " " + id + " ").getBytes(StandardCharsets.US_ASCII);
        byte[] value = Arrays.copyOf(head, (int) Math.max(head.length, size));
        Arrays.fill(value, head.length, value.length, (byte) '.');
        return value;
    }

    static byte[] receipt(String key, String id, long number) {
        return ("r " + key + " " + id + " " + number).getBytes(StandardCharsets.US_ASCII);
    }
}
