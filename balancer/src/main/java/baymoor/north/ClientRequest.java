package baymoor.north;

import java.util.Map;

/**
 * A client's request as it was taken, whatever protocol it came by. {@code value} is null for a read;
 * {@code facts} are all names and values in the order in which they came.
 */
public record ClientRequest(
        String id,
        String key,
        String requestClass,
        String tenant,
        byte[] value,
        Map<String, String> facts,
        long deadlineMicros,
        long workMicros,
        double size,
        boolean retry) {

    /** Whether it is a write: a read has no value. */
    public boolean write() {
        return value != null;
    }
}
