package merlinstep;

import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;

/** A request that is owed an answer. */
final class Job {
    final Request request;
    final RequestClass requestClass;
    final long key;
    final long arrivedMicros;
    final double worth;
    long onTimeMicros;
    long usefulUntilMicros;
    long sentMicros;
    long firstRunMicros = Long.MIN_VALUE;
    int attempts;
    int spread = 1;
    boolean recheckedCache;
    boolean served;
    Cache currentServer;
    Cache firstRunAt;
    Cache missedCache;
    Cache preferredCache;
    Cache awaited;
    Cache avoidedCache;
    HeldMiss heldMiss;

    Job(Request request, RequestClass requestClass, long now) {
        this.request = request;
        this.requestClass = requestClass;
        worth = requestClass.worth();
        key = request.hasKey() ? request.key() : Hash.mix(request.id().hashCode());
        arrivedMicros = now;
    }

    /** What an answer at a time is worth. */
    double worthAt(long micros) {
        return micros <= onTimeMicros ? worth : worth * requestClass.lateWorth();
    }

    /** A refusal in the later half of the time costs the client that wait for nothing, unless something was tried. */
    long holdDeadlineMicros() {
        long half = arrivedMicros + (request.deadlineMicros() - arrivedMicros) / 2;
        return attempts == 0 ? Math.min(half, usefulUntilMicros) : usefulUntilMicros;
    }

    /** Requests that wait for one key; at most one of them, the leader, fetches it or asks the cache again. */
    static final class HeldMiss {
        final long key;
        final List<Job> jobs = new ArrayList<>();
        Job leader;
        long heldSinceMicros;
        long eligibleMicros;

        HeldMiss(long key, long now) {
            this.key = key;
            heldSinceMicros = now;
            eligibleMicros = now;
        }

        /** Whether nobody fetches it now. */
        boolean needsFetch() {
            return leader == null;
        }

        /** Work of its fetch as hinted, 0 where nothing is. */
        long workMicros() {
            return jobs.get(0).request.workMicros();
        }

        Job mostUrgent() {
            Job first = jobs.get(0);
            for (Job job : jobs) {
                first = job.usefulUntilMicros < first.usefulUntilMicros ? job : first;
            }
            return first;
        }

        double totalWorth() {
            double sum = 0;
            for (Job job : jobs) {
                sum += job.worth;
            }
            return sum;
        }
    }
}
