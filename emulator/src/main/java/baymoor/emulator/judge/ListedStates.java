package baymoor.emulator.judge;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** What discovery has written to each balancer of hosts that drain, are gone or have started lately. */
final class ListedStates {

    /** @param reportedAt when the balancer was told first */
    private record State(boolean stopped, long reportedAt, long startedAt) {}

    private final Map<Integer, Map<String, State>> byBalancer = new HashMap<>();

    /** A balancer's process has ended, and with it what it knew. */
    void forget(int balancer) {
        byBalancer.remove(balancer);
    }

    /** Notes what a balancer was told at a time; a host in service for long is not kept, as no rule turns on it. */
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

    /** When a balancer was told that a host drains or is gone; empty where it is in service as far as it knows. */
    OptionalLong stoppedAt(int balancer, String host) {
        State state = state(balancer, host);
        return state != null && state.stopped ? OptionalLong.of(state.reportedAt) : OptionalLong.empty();
    }

    /** Whether a balancer was told of a host's last start. */
    boolean knowsStart(int balancer, String host, long sinceMicros) {
        State state = state(balancer, host);
        return state != null && state.startedAt == sinceMicros;
    }

    private State state(int balancer, String host) {
        return byBalancer.getOrDefault(balancer, Map.of()).get(host);
    }
}
