package baymoor.south;

import baymoor.link.Time;
import java.util.function.BooleanSupplier;

/** One attempt of a request at one host. */
final class Attempt {
    final String requestId;
    final int number;
    final Host host;
    final RequestContent content;
    final long startedMicros;
    final long untilMicros;
    private final BooleanSupplier wanted;
    Time.Timer timer;
    HostConnection connection;
    boolean over;

    /**
     * @param content null for a probe
     * @param wanted whether it may still begin, as far as the request goes
     */
    Attempt(
            String requestId,
            int number,
            Host host,
            RequestContent content,
            long startedMicros,
            long untilMicros,
            BooleanSupplier wanted) {
        this.wanted = wanted;
        this.requestId = requestId;
        this.number = number;
        this.host = host;
        this.content = content;
        this.startedMicros = startedMicros;
        this.untilMicros = untilMicros;
    }

    boolean wanted() {
        return wanted.getAsBoolean();
    }

    boolean probe() {
        return content == null;
    }
}
