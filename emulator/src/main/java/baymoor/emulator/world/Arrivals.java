package baymoor.emulator.world;

import baymoor.emulator.judge.Judge;

/** Reports the attempts that reach hosts to the judge, on platforms that do not observe the balancers' connections. */
final class Arrivals {

    private final Judge judge;
    private final boolean reporting;
    private long lastConnection;

    Arrivals(Judge judge, boolean reporting) {
        this.judge = judge;
        this.reporting = reporting;
    }

    /** Returns the number of a new connection. */
    long connection() {
        return ++lastConnection;
    }

    /** Reports a completely received command. */
    void came(String id, int balancer, String host, long connection) {
        if (reporting) {
            judge.attemptSent(id, balancer, host, connection);
        }
    }

    /** Reports the end of a connection. */
    void closed(long connection) {
        if (reporting) {
            judge.attemptClosed(connection);
        }
    }
}
