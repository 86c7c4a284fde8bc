package baymoor.emulator.world;

import baymoor.emulator.judge.Judge;

/** What hosts tell the judge of the attempts that come to them, where nothing watches the balancers' connections. */
final class Arrivals {

    private final Judge judge;
    private final boolean reporting;
    private long lastConnection;

    Arrivals(Judge judge, boolean reporting) {
        this.judge = judge;
        this.reporting = reporting;
    }

    /** A number for a new connection. */
    long connection() {
        return ++lastConnection;
    }

    /** A whole command has come in. */
    void came(String id, int balancer, String host, long connection) {
        if (reporting) {
            judge.attemptSent(id, balancer, host, connection);
        }
    }

    void closed(long connection) {
        if (reporting) {
            judge.attemptClosed(connection);
        }
    }
}
