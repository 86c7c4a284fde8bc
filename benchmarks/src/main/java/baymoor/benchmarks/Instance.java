package baymoor.benchmarks;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import merlinstep.Decisions;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Prices;
import merlinstep.Decisions.Reports;
import merlinstep.Decisions.Request;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Send;
import merlinstep.Decisions.Server;
import merlinstep.Decisions.ServerList;
import merlinstep.Decisions.SetTimer;
import merlinstep.Decisions.Settings;
import merlinstep.Decisions.State;
import merlinstep.Decisions.TellPeer;
import merlinstep.Decisions.Tenant;
import merlinstep.Decisions.TimerFired;
import merlinstep.Decisions.Weights;
import org.openjdk.jol.info.GraphLayout;

/** One instance of the decision module with its clock, timer and the actions of the last event. */
final class Instance {

    static final String REQUEST_CLASS = "read";
    static final String TENANT = "tenant";
    private static final long SECOND_MICROS = 1_000_000;
    private static final long START_MICROS = 5 * SECOND_MICROS;
    private static final long DEADLINE_MICROS = 2 * SECOND_MICROS;
    static final long ORIGIN_ID = 1L << 40;
    /** Fetches a second that the origin may be sent by all balancers together. */
    private static final double QUOTA_PER_SECOND = 2_000;
    /** Processor time of a deployment's balancer, from which the module derives its tick interval. */
    private static final double CPU_MICROS_PER_SECOND = 400_000;

    private static final double PEER_MESSAGE_PRICE = 0.01;

    private final Decisions decisions;
    private final List<Action> actions = new ArrayList<>();
    private long nowMicros = START_MICROS;
    private long timerToken;
    private long timerMicros = START_MICROS;

    Instance(TierSize size, int index) {
        decisions = Decisions.start(settings(size, index));
        handle(new ServerList(ListKind.WHOLE, 1, servers(size.routers())));
    }

    /** Hands in one event at the present time and returns the actions that it caused, valid until the next event. */
    List<Action> handle(Event event) {
        return handle(nowMicros, event);
    }

    /** Hands in one event with a time of its own. */
    List<Action> handle(long atMicros, Event event) {
        actions.clear();
        decisions.decide(atMicros, event, this::accept);
        return actions;
    }

    private void accept(Action action) {
        actions.add(action);
        if (action instanceof SetTimer timer) {
            timerToken = timer.token();
            timerMicros = nowMicros + timer.delayMicros();
        }
    }

    /** Moves the clock to the pending timer and fires it. */
    List<Action> tick() {
        nowMicros = timerMicros;
        return handle(new TimerFired(timerToken));
    }

    /** Fires the pending timer at the present time. */
    List<Action> firePending() {
        return fire(timerToken);
    }

    /** Fires a timer at the present time. */
    List<Action> fire(long token) {
        return handle(new TimerFired(token));
    }

    void advance(long micros) {
        nowMicros += micros;
    }

    /** Bytes of heap that the decision module holds. */
    long retainedBytes() {
        return GraphLayout.parseInstance(decisions).totalSize();
    }

    long nowMicros() {
        return nowMicros;
    }

    Request request(String id, long key) {
        return new Request(id, REQUEST_CLASS, TENANT, true, key, nowMicros + DEADLINE_MICROS, 0, 0, false, false);
    }

    /** Sends requests until as many routers as wanted have one outstanding, then returns the peer message that says so. */
    byte[] message(int reportedRouters) {
        Set<Long> busy = new HashSet<>();
        for (long key = 0; busy.size() < reportedRouters; key++) {
            for (Action action : handle(request("request-" + key, key))) {
                if (action instanceof Send send) {
                    busy.add(send.server());
                }
            }
        }
        while (true) {
            for (Action action : tick()) {
                if (action instanceof TellPeer tell) {
                    return tell.content();
                }
            }
        }
    }

    static Server router(long id, State state) {
        return new Server(id, 1, "plain", state, "zone-" + id % 4, 0, (int) id / 8);
    }

    private static List<Server> servers(int routers) {
        List<Server> servers = new ArrayList<>();
        for (int id = 1; id <= routers; id++) {
            servers.add(router(id, State.RUNNING));
        }
        servers.add(new Server(ORIGIN_ID, 1, "origin", State.RUNNING, "zone-0", 0, 0));
        return servers;
    }

    private static Settings settings(TierSize size, int index) {
        RequestClass read =
                new RequestClass(REQUEST_CLASS, 800_000, 0, 2_500_000, Effect.SAFE, Group.ALL, 0, 2, 0, false);
        return new Settings(
                index,
                size.balancers(),
                42 + index,
                "zone-0",
                List.of("zone-0", "zone-1", "zone-2", "zone-3"),
                List.of("plain", "origin"),
                List.of("tier"),
                0,
                List.of(read),
                List.of(new Tenant(TENANT, 1, QUOTA_PER_SECOND)),
                Membership.PUSH,
                new Origin(Mode.ASIDE, 1, 3, 3 * SECOND_MICROS),
                new Limits(
                        5,
                        20_000,
                        false,
                        true,
                        false,
                        true,
                        true,
                        2 * SECOND_MICROS,
                        250_000,
                        30 * SECOND_MICROS,
                        32,
                        CPU_MICROS_PER_SECOND,
                        0),
                new RuleFigures(
                        20_000, SECOND_MICROS / 2, 10 * SECOND_MICROS, 0.3, 8 * SECOND_MICROS, 3, SECOND_MICROS),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0, PEER_MESSAGE_PRICE, 0, 0),
                new Goal(1, 0, 0, 0),
                Reports.NONE,
                List.of(),
                Weights.NONE,
                false,
                0.1,
                false,
                5_000);
    }
}
