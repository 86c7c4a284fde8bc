package merlinstep;

/** A listed server, cache or origin, with its health and load as this balancer sees them. */
final class Cache {
    final long id;
    final boolean origin;
    String kind;
    Zone zone;
    int cell;
    /** Attempts of this balancer without an outcome. */
    int outstanding;
    /** Outstanding attempts of the other balancers, as last reported. */
    int outstandingElsewhere;
    /** Attempts sent since the last answer. */
    int unanswered;

    boolean running;
    /** Whether the server is out of use until a trial succeeds. */
    boolean suspect;

    double size;
    /** Attempts sent, decaying. */
    double recentSent;
    /** Work completed in units of hits, decaying. */
    double recentWork;
    /** Attempts that may be sent while the cache is cold. */
    double tokens;
    /** Moving average of the fraction of answers that are errors. */
    double errorRate;
    /** Part of its slots that the cache serves, relative to the largest warm cache. */
    double part = 1;

    double concurrencyLimit = Rules.INITIAL_CONCURRENCY_LIMIT;
    /** Mean backoff after a FULL answer; doubles with each. */
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

    /** Applies an entry of the server list; a restart clears the error rate. */
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

    /** Counts an attempt that is being sent. */
    void recordSent(long nowMicros) {
        recentSent++;
        tokens--;
        outstanding++;
        if (unanswered++ == 0) {
            silentSinceMicros = nowMicros;
        }
    }

    /** Records an answer of any kind, which shows that the server and its zone are reachable. */
    void recordAnswer(long nowMicros) {
        unanswered = 0;
        silentSinceMicros = nowMicros;
        zone.heardMicros = nowMicros;
        zone.down = false;
        if (errorRate < Rules.HEALTHY_ERROR_RATE) {
            restore();
        }
    }

    /** Returns the outstanding attempts of all balancers, as far as reported. */
    int load() {
        return outstanding + outstandingElsewhere;
    }

    /** Updates the error rate with one answer. */
    void updateErrorRate(boolean failed) {
        errorRate += ((failed ? 1 : 0) - errorRate) / Rules.ERROR_RATE_WINDOW_ANSWERS;
    }

    /** Takes the server out of use. */
    void markSuspect() {
        zone.suspects += suspect ? 0 : 1;
        suspect = true;
    }

    /** Returns a suspected server to use. */
    void restore() {
        if (suspect) {
            suspect = false;
            zone.suspects--;
            trialGapMicros = Rules.TRIAL_GAP_MICROS;
        }
    }

    /** Reachability of a zone; {@code down} while none of its servers answers. */
    static final class Zone {
        /** Halved, so that differences from it do not overflow. */
        long heardMicros = Long.MIN_VALUE / 2;

        int suspects;
        boolean down;
        long nextTrialMicros;
    }
}
