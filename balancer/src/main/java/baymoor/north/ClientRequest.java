package baymoor.north;

/**
 * A client's request, independent of the protocol that carried it.
 *
 * @param id             chosen by the client, unique among open requests
 * @param value          the value to write, null for a read
 * @param facts          all names and values, as the client sent them
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
        String facts,
        long deadlineMicros,
        long workMicros,
        double size,
        boolean retry) {

    /** What the program keeps for an open request beside what the client sent. */
    private static final int OVERHEAD_BYTES = 1_500;

    /** Returns about how much memory the request takes while it is open, in bytes, without its value. */
    public int memoryBytes() {
        return OVERHEAD_BYTES + id.length() + key.length() + facts.length();
    }

    /** Returns whether the request is a write. */
    public boolean write() {
        return value != null;
    }
}
