package baymoor.knowledge.data;

import java.util.List;

/**
 * What an instance has learned, each item with the time it was learned (Unix milliseconds) and how many observations
 * support it. Items are in order of their ids, at most one for each.
 *
 * @param instance that learned it, or several joined by {@code +}
 * @param takenAt  when it was written down, Unix milliseconds
 * @param upFor    how long the instance had run by then, milliseconds
 * @param origin   null where nothing is known of it
 */
public record Knowledge(String instance, long takenAt, long upFor, List<Host> hosts, List<Key> keys, Origin origin) {

    public Knowledge {
        hosts = List.copyOf(hosts);
        keys = List.copyOf(keys);
        inOrder(hosts.stream().mapToLong(Host::id).toArray(), "hosts");
        inOrder(keys.stream().mapToLong(Key::key).toArray(), "keys");
    }

    private static void inOrder(long[] ids, String what) {
        for (int i = 1; i < ids.length; i++) {
            if (ids[i - 1] >= ids[i]) {
                throw new IllegalArgumentException(what + " are not in order of their ids, one for each");
            }
        }
    }

    /** A time and a support that every item has. */
    public interface Item {
        /** When it was learned, Unix milliseconds. */
        long learnedAt();

        /** The weight of the observations behind it. */
        double support();
    }

    /**
     * A host.
     *
     * @param id            as the inventory has it
     * @param since         when the process that this is about started, Unix milliseconds; 0 for long ago
     * @param latencyMicros mean of its answers
     * @param limit         attempts that may be out there at a time
     * @param failing       share of its answers that failed, 0 to 1
     * @param out           whether it was out of use
     */
    public record Host(
            long id,
            long since,
            long learnedAt,
            double support,
            double latencyMicros,
            double limit,
            double failing,
            boolean out)
            implements Item {
        public Host {
            sound(support, latencyMicros, limit, failing);
            if (failing > 1) {
                throw new IllegalArgumentException("failing is a share");
            }
        }
    }

    /** A popular key, and the requests a second for it. */
    public record Key(long key, long learnedAt, double support, double rate) implements Item {
        public Key {
            sound(support, rate);
        }
    }

    /** What the origin can take: fetches a second, and the latency of a quick one. */
    public record Origin(long learnedAt, double support, double perSecond, double quickMicros) implements Item {
        public Origin {
            sound(support, perSecond, quickMicros);
        }
    }

    private static void sound(double... figures) {
        for (double f : figures) {
            if (!(f >= 0) || Double.isInfinite(f)) {
                throw new IllegalArgumentException("a figure is not 0 or more: " + f);
            }
        }
    }
}
