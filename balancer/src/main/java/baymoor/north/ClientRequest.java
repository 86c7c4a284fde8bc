package baymoor.north;

import java.util.Map;

/**
 * A client's request, independent of the protocol that carried it.
 *
 * @param id             chosen by the client, unique among open requests
 * @param value          the value to write, null for a read
 * @param facts          all names and values that the client sent, in their order
 * @param deadlineMicros on the clock of {@link baymoor.link.Time}
 * @param workMicros     the client's estimate of the work, 0 if it sent none
 * @param size           the client's estimate of the size, 0 if it sent none
 * @param retry          whether the client has sent the request before
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

    /** Returns whether the request is a write. */
    public boolean write() {
        return value != null;
    }
}
