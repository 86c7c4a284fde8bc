package baymoor.south;

import baymoor.link.Time;

/** One attempt of a request at one host. */
final class Relay {
    final String request;
    final int attempt;
    final Host host;
    final Parcel parcel;
    final long startedMicros;
    final long untilMicros;
    Time.Timer timer;
    Lane lane;
    boolean over;
    /** Nobody waits for its answer any more: it must not begin. */
    boolean unwanted;

    /** @param parcel null for a probe */
    Relay(String request, int attempt, Host host, Parcel parcel, long startedMicros, long untilMicros) {
        this.request = request;
        this.attempt = attempt;
        this.host = host;
        this.parcel = parcel;
        this.startedMicros = startedMicros;
        this.untilMicros = untilMicros;
    }

    boolean probe() {
        return parcel == null;
    }
}
