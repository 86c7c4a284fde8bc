package merlinstep;

/** A server of the list, and what this balancer saw of it. */
final class Cache {
    final long id;
    final boolean origin;
    String kind;
    Area area;
    int cell;
    int outstanding;
    int elsewhere;
    int unanswered;
    boolean running;
    boolean suspect;
    double size;
    double sent;
    double taken;
    double tokens;
    double failing;
    double part = 1;
    double limit = Rules.FIRST_LIMIT;
    long gapMicros;
    long closedUntilMicros;
    long startedMicros;
    long trialMicros;
    long quietSinceMicros;
    long trialGapMicros = Rules.TRIAL_MICROS;
    long limitCutMicros = Long.MIN_VALUE;

    Cache(long id, boolean origin) {
        this.id = id;
        this.origin = origin;
    }

    /** Takes over what the list says. */
    void listed(Decisions.Server server, Area zone) {
        kind = server.kind() == null ? "" : server.kind();
        area = zone;
        cell = server.cell();
        size = server.size();
        unanswered = server.startedMicros() == startedMicros ? unanswered : 0;
        failing = server.startedMicros() == startedMicros ? failing : 0;
        startedMicros = server.startedMicros();
        running = server.state() == Decisions.State.RUNNING;
    }

    void sent(long nowMicros) {
        sent++;
        tokens--;
        outstanding++;
        if (unanswered++ == 0) {
            quietSinceMicros = nowMicros;
        }
    }

    /** It answered something, so it and the way to it work. */
    void heard(long nowMicros) {
        unanswered = 0;
        quietSinceMicros = nowMicros;
        area.heardMicros = nowMicros;
        area.down = false;
        if (failing < Rules.DOUBTFUL) {
            restore();
        }
    }

    /** What is out here from all balancers, as far as they told. */
    int load() {
        return outstanding + elsewhere;
    }

    /** Moves the part of its answers that are errors. */
    void answered(boolean failed) {
        failing += ((failed ? 1 : 0) - failing) / Rules.ANSWERS_SEEN;
    }

    void suspect() {
        area.suspects += suspect ? 0 : 1;
        suspect = true;
    }

    void restore() {
        if (suspect) {
            suspect = false;
            area.suspects--;
            trialGapMicros = Rules.TRIAL_MICROS;
        }
    }

    /** A zone as seen from here; {@code down} while nothing in it can be reached. */
    static final class Area {
        /** Half of the least, so that a difference from it does not overflow. */
        long heardMicros = Long.MIN_VALUE / 2;

        int suspects;
        boolean down;
        long trialMicros;
    }
}
