package merlinstep;

/** A server of the list, and what this balancer saw of it. */
final class Cache {
    final long id;
    final boolean origin;
    String kind;
    Zone zone;
    int cell;
    int outstanding;
    int outstandingElsewhere;
    int unanswered;
    boolean running;
    boolean suspect;
    double size;
    double recentSent;
    double recentWork;
    double tokens;
    double errorRate;
    double part = 1;
    double concurrencyLimit = Rules.INITIAL_CONCURRENCY_LIMIT;
    long waitMicros;
    long backoffUntilMicros;
    long startedMicros;
    long nextTrialMicros;
    long silentSinceMicros;
    long trialGapMicros = Rules.TRIAL_GAP_MICROS;
    long nextLimitCutMicros = Long.MIN_VALUE;

    Cache(long id, boolean origin) {
        this.id = id;
        this.origin = origin;
    }

    /** Takes over what the list says. */
    void update(Decisions.Server server, Zone newZone) {
        kind = server.kind() == null ? "" : server.kind();
        zone = newZone;
        cell = server.cell();
        size = server.size();
        unanswered = server.startedMicros() == startedMicros ? unanswered : 0;
        errorRate = server.startedMicros() == startedMicros ? errorRate : 0;
        startedMicros = server.startedMicros();
        running = server.state() == Decisions.State.RUNNING;
    }

    void recordSent(long nowMicros) {
        recentSent++;
        tokens--;
        outstanding++;
        if (unanswered++ == 0) {
            silentSinceMicros = nowMicros;
        }
    }

    /** It answered something, so it and the way to it work. */
    void recordAnswer(long nowMicros) {
        unanswered = 0;
        silentSinceMicros = nowMicros;
        zone.heardMicros = nowMicros;
        zone.down = false;
        if (errorRate < Rules.HEALTHY_ERROR_RATE) {
            restore();
        }
    }

    /** What is out here from all balancers, as far as they told. */
    int load() {
        return outstanding + outstandingElsewhere;
    }

    /** Moves the part of its answers that are errors. */
    void updateErrorRate(boolean failed) {
        errorRate += ((failed ? 1 : 0) - errorRate) / Rules.ERROR_RATE_WINDOW_ANSWERS;
    }

    void markSuspect() {
        zone.suspects += suspect ? 0 : 1;
        suspect = true;
    }

    void restore() {
        if (suspect) {
            suspect = false;
            zone.suspects--;
            trialGapMicros = Rules.TRIAL_GAP_MICROS;
        }
    }

    /** A zone as seen from here; {@code down} while nothing in it can be reached. */
    static final class Zone {
        /** Half of the least, so that a difference from it does not overflow. */
        long heardMicros = Long.MIN_VALUE / 2;

        int suspects;
        boolean down;
        long nextTrialMicros;
    }
}
