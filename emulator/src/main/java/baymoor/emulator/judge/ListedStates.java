package baymoor.emulator.judge;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Holds the host states that discovery has reported to each balancer: hosts that drain, are gone or have started
 * recently. Not thread-safe; used by {@link Judge} only.
 */
final class ListedStates {

    /**
     * A host's state as one balancer knows it.
     *
     * @param reportedAt when the state was first reported to the balancer
     */
    private record State(boolean stopped, long reportedAt, long startedAt) {}

    private final Map<Integer, Map<String, State>> byBalancer = new HashMap<>();

    /** Drops all states of a balancer whose process has ended or restarted. */
    void forget(int balancer) {
        byBalancer.remove(balancer);
    }

    /** Records a reported state; long-running hosts in service are dropped, since no rule depends on them. */
    void update(int balancer, String host, boolean stopped, long sinceMicros, long now) {
        Map<String, State> known = byBalancer.computeIfAbsent(balancer, key -> new HashMap<>());
        if (!stopped && sinceMicros == 0) {
            known.remove(host);
            return;
        }
        State previous = known.get(host);
        boolean unchanged = previous != null && previous.stopped == stopped && previous.startedAt == sinceMicros;
        known.put(host, new State(stopped, unchanged ? previous.reportedAt : now, sinceMicros));
    }

    /** Returns when a balancer learned that a host drains or is gone; empty if it knows of neither. */
    OptionalLong stoppedAt(int balancer, String host) {
        State state = state(balancer, host);
        return state != null && state.stopped ? OptionalLong.of(state.reportedAt) : OptionalLong.empty();
    }

    /** Returns whether discovery has reported a host's last start to a balancer. */
    boolean knowsStart(int balancer, String host, long sinceMicros) {
        State state = state(balancer, host);
        return state != null && state.startedAt == sinceMicros;
    }

    private State state(int balancer, String host) {
        return byBalancer.getOrDefault(balancer, Map.of()).get(host);
    }
}
