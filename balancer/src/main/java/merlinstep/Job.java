package merlinstep;

import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;

/** A request without a final answer, and the state of its attempts. */
final class Job {
    final Request request;
    final RequestClass requestClass;
    final long key;
    final long arrivedMicros;
    final double worth;
    /** Time until which an answer has its full worth. */
    long onTimeMicros;
    /** Time until which an answer has any worth. */
    long usefulUntilMicros;

    long sentMicros;
    /** Start of the first attempt that may have run; {@code Long.MIN_VALUE} if none. */
    long firstRunMicros = Long.MIN_VALUE;

    int attempts;
    /** Number of caches that serve its key. */
    int spread = 1;
    /** Whether it asked the cache again instead of fetching. */
    boolean recheckedCache;

    boolean served;
    /** Server of the outstanding attempt; null if there is none. */
    Cache currentServer;

    Cache firstRunAt;
    Cache missedCache;
    Cache preferredCache;
    /** Cache whose room it waits for. */
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

    /** Returns the worth of an answer at the given time. */
    double worthAt(long micros) {
        return micros <= onTimeMicros ? worth : worth * requestClass.lateWorth();
    }

    /** Returns when to refuse it at the latest: without any attempt at half of its time, as the client may retry. */
    long holdDeadlineMicros() {
        long half = arrivedMicros + (request.deadlineMicros() - arrivedMicros) / 2;
        return attempts == 0 ? Math.min(half, usefulUntilMicros) : usefulUntilMicros;
    }

    /** Requests that wait for one key; at most one of them, the leader, has an attempt for it. */
    static final class HeldMiss {
        final long key;
        final List<Job> jobs = new ArrayList<>();
        Job leader;
        /** Time of the miss or of the last fetch. */
        long heldSinceMicros;
        /** Time from which a fetch may be sent. */
        long eligibleMicros;

        HeldMiss(long key, long now) {
            this.key = key;
            heldSinceMicros = now;
            eligibleMicros = now;
        }

        /** Returns whether no attempt for the key is outstanding. */
        boolean needsFetch() {
            return leader == null;
        }

        /** Returns the expected work of the fetch; 0 if unknown. */
        long workMicros() {
            return jobs.get(0).request.workMicros();
        }

        /** Returns the request with the least time left. */
        Job mostUrgent() {
            Job first = jobs.get(0);
            for (Job job : jobs) {
                first = job.usefulUntilMicros < first.usefulUntilMicros ? job : first;
            }
            return first;
        }

        /** Returns the summed worth of the requests. */
        double totalWorth() {
            double sum = 0;
            for (Job job : jobs) {
                sum += job.worth;
            }
            return sum;
        }
    }
}
