package merlinstep;

import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;

/** A request that is owed an answer. */
final class Job {
    final Request request;
    final RequestClass kind;
    final long key;
    final long arrivedMicros;
    final double worth;
    long inTimeUntilMicros;
    long usefulUntilMicros;
    long sentMicros;
    long ranMicros = Long.MIN_VALUE;
    int attempts;
    int spread = 1;
    boolean askedAgain;
    boolean served;
    Cache at;
    Cache ranAt;
    Cache missedAt;
    Cache home;
    Cache parkedFor;
    Cache shunned;
    Waiting waiting;

    Job(Request request, RequestClass kind, long now) {
        this.request = request;
        this.kind = kind;
        worth = kind.worth();
        key = request.hasKey() ? request.key() : Hash.mix(request.id().hashCode());
        arrivedMicros = now;
    }

    /** What an answer at a time is worth. */
    double worthAt(long micros) {
        return micros <= inTimeUntilMicros ? worth : worth * kind.lateWorth();
    }

    /** A refusal in the later half of the time costs the client that wait for nothing, unless something was tried. */
    long heldUntilMicros() {
        long half = arrivedMicros + (request.deadlineMicros() - arrivedMicros) / 2;
        return attempts == 0 ? Math.min(half, usefulUntilMicros) : usefulUntilMicros;
    }

    /** Requests that wait for one key; at most one of them, the leader, fetches it or asks the cache again. */
    static final class Waiting {
        final long key;
        final List<Job> jobs = new ArrayList<>();
        Job leader;
        long sinceMicros;
        long readyMicros;

        Waiting(long key, long now) {
            this.key = key;
            sinceMicros = now;
            readyMicros = now;
        }

        /** Whether nobody fetches it now. */
        boolean free() {
            return leader == null;
        }

        /** Work of its fetch as hinted, 0 where nothing is. */
        long workMicros() {
            return jobs.get(0).request.workMicros();
        }

        Job mostUrgent() {
            Job first = jobs.get(0);
            for (Job j : jobs) {
                first = j.usefulUntilMicros < first.usefulUntilMicros ? j : first;
            }
            return first;
        }

        double worth() {
            double sum = 0;
            for (Job j : jobs) {
                sum += j.worth;
            }
            return sum;
        }
    }
}
