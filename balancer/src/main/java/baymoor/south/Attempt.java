package baymoor.south;

import baymoor.link.Time;
import java.util.function.BooleanSupplier;

/** One attempt to have a request answered by one host, or a probe of that host. */
final class Attempt {
    final String requestId;
    final int number;
    final Host host;
    final RequestContent content;
    final long startedMicros;
    final long deadlineMicros;
    private final BooleanSupplier stillAllowed;
    Time.Timer timer;
    HostConnection connection;
    boolean ended;

    /**
     * @param requestId    null for a probe
     * @param content      null for a probe
     * @param stillAllowed whether the attempt may still be sent, asked right before it is written
     */
    Attempt(
            String requestId,
            int number,
            Host host,
            RequestContent content,
            long startedMicros,
            long deadlineMicros,
            BooleanSupplier stillAllowed) {
        this.stillAllowed = stillAllowed;
        this.requestId = requestId;
        this.number = number;
        this.host = host;
        this.content = content;
        this.startedMicros = startedMicros;
        this.deadlineMicros = deadlineMicros;
    }

    boolean stillAllowed() {
        return stillAllowed.getAsBoolean();
    }

    boolean isProbe() {
        return content == null;
    }
}
