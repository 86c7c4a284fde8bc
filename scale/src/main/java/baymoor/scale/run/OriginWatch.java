package baymoor.scale.run;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** How many fetches all hollow balancers together sent to the origin, second by second. */
final class OriginWatch {

    private record Reading(double seconds, long fetches) {}

    private final double capacity;
    private final ArrayDeque<Reading> lastSecond = new ArrayDeque<>();
    private final List<Double> rates = new ArrayList<>();

    /** @param capacity fetches a second that the origin answers in its usual time */
    OriginWatch(double capacity) {
        this.capacity = capacity;
    }

    /** Takes the number of fetches so far; gives the load of the origin over the last second. */
    double read(double seconds, long fetches) {
        lastSecond.addLast(new Reading(seconds, fetches));
        while (lastSecond.size() > 2 && seconds - lastSecond.peekFirst().seconds() > 1.05) {
            lastSecond.removeFirst();
        }
        Reading first = lastSecond.peekFirst();
        double span = seconds - first.seconds();
        if (span < 0.7) {
            return 0;
        }
        double rate = (fetches - first.fetches()) / span;
        rates.add(rate);
        return rate / capacity;
    }

    /** Forgets the seconds so far. */
    void reset() {
        rates.clear();
    }

    /** The most of any second, against the capacity. */
    double overIssue() {
        return rates.stream().mapToDouble(Double::doubleValue).max().orElse(0) / capacity;
    }

    /** The mean of all seconds, against the capacity. */
    double use() {
        return rates.stream().mapToDouble(Double::doubleValue).average().orElse(0) / capacity;
    }
}
