package baymoor.emulator.world;

import baymoor.emulator.judge.Judge;

/** What hosts tell the judge of the attempts that come to them, where nothing watches the balancers' connections. */
final class Arrivals {

    private final Judge judge;
    private final boolean tell;
    private long connections;

    Arrivals(Judge judge, boolean tell) {
        this.judge = judge;
        this.tell = tell;
    }

    /** A number for a new connection. */
    long connection() {
        return ++connections;
    }

    /** A whole command has come in. */
    void came(String id, int balancer, String host, long connection) {
        if (tell) {
            judge.attemptSent(id, balancer, host, connection);
        }
    }

    void closed(long connection) {
        if (tell) {
            judge.attemptClosed(connection);
        }
    }
}
