package baymoor.south;

import baymoor.link.Time;
import java.util.function.BooleanSupplier;

/** One attempt of a request at one host. */
final class Relay {
    final String request;
    final int attempt;
    final Host host;
    final Parcel parcel;
    final long startedMicros;
    final long untilMicros;
    private final BooleanSupplier wanted;
    Time.Timer timer;
    HostConnection connection;
    boolean over;

    /**
     * @param parcel null for a probe
     * @param wanted whether it may still begin, as far as the request goes
     */
    Relay(
            String request,
            int attempt,
            Host host,
            Parcel parcel,
            long startedMicros,
            long untilMicros,
            BooleanSupplier wanted) {
        this.wanted = wanted;
        this.request = request;
        this.attempt = attempt;
        this.host = host;
        this.parcel = parcel;
        this.startedMicros = startedMicros;
        this.untilMicros = untilMicros;
    }

    boolean wanted() {
        return wanted.getAsBoolean();
    }

    boolean probe() {
        return parcel == null;
    }
}
