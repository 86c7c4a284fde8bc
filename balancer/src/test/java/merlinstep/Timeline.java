package merlinstep;

import java.util.ArrayList;
import java.util.List;
import merlinstep.Decisions.Action;
import merlinstep.Decisions.AttemptEnded;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Event;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.ListKind;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Outcome;
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
import merlinstep.Decisions.Tenant;
import merlinstep.Decisions.TimerFired;
import merlinstep.Decisions.Weights;

/** A decision module in virtual time; fires its timers as time passes, and records its actions. */
final class Timeline {

    static final long ORIGIN = 999;
    static final long SECOND = 1_000_000;

    final Rules rules;
    final List<Action> actions = new ArrayList<>();
    long now;
    private long timerAt = Long.MAX_VALUE;
    private int attempts;

    Timeline(Settings settings, long start) {
        rules = new Rules(settings);
        now = start;
    }

    /** Returns an instance in a tier of {@code balancers}, with {@code caches} caches and an origin. */
    static Timeline with(int index, int balancers, int caches) {
        Timeline timeline = new Timeline(settings(index, balancers, 6), 5 * SECOND);
        timeline.list(ListKind.LAST_KNOWN, servers(caches));
        return timeline;
    }

    /** Returns the same with a price on peer messages, which large tiers then send once per second. */
    static Timeline withPricedMessages(int index, int balancers, int caches) {
        Settings s = settings(index, balancers, 6);
        Timeline timeline = new Timeline(
                new Settings(
                        index,
                        balancers,
                        s.seed(),
                        s.zone(),
                        s.zones(),
                        s.kinds(),
                        s.tiers(),
                        0,
                        s.classes(),
                        s.tenants(),
                        s.membership(),
                        s.origin(),
                        s.limits(),
                        s.rules(),
                        new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0.01, 0, 0),
                        s.goal(),
                        s.reports(),
                        s.reportFields(),
                        s.weights(),
                        false,
                        0.1,
                        false,
                        5_000),
                5 * SECOND);
        timeline.list(ListKind.LAST_KNOWN, servers(caches));
        return timeline;
    }

    /** Returns the settings with other rules. */
    static Settings withRules(Settings s, RuleFigures rules) {
        return new Settings(
                s.index(),
                s.balancers(),
                s.seed(),
                s.zone(),
                s.zones(),
                s.kinds(),
                s.tiers(),
                0,
                s.classes(),
                s.tenants(),
                s.membership(),
                s.origin(),
                s.limits(),
                rules,
                s.prices(),
                s.goal(),
                s.reports(),
                s.reportFields(),
                s.weights(),
                false,
                0.1,
                false,
                5_000);
    }

    static List<Server> servers(int caches) {
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= caches; i++) {
            servers.add(cache(i, State.RUNNING, 0));
        }
        servers.add(new Server(ORIGIN, 1, "origin", State.RUNNING, "here", 0, 0));
        return servers;
    }

    static Server cache(long id, State state, long started) {
        return new Server(id, 1, "plain", state, id % 2 == 0 ? "here" : "there", started, (int) id / 3);
    }

    static Settings settings(int index, int balancers, int maxAttempts) {
        return settings(index, balancers, maxAttempts, Membership.PUSH, true);
    }

    static Settings settings(int index, int balancers, int maxAttempts, Membership membership, boolean tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 800_000, 0, 2_500_000, Effect.SAFE, Group.ALL, 0, 2, 0, false),
                new RequestClass("patient", 800_000, 0, 2_500_000, Effect.SAFE, Group.ALL, 0, 2, 0.5, false),
                new RequestClass("write", 900_000, 0, 2_500_000, Effect.KEYED, Group.ALL, 5 * SECOND, 8, 0, false),
                new RequestClass("zoned", 900_000, 0, 2_500_000, Effect.KEYED, Group.ZONE, 5 * SECOND, 8, 0, false),
                new RequestClass("celled", 900_000, 0, 2_500_000, Effect.KEYED, Group.CELL, 5 * SECOND, 8, 0, false),
                new RequestClass("once", 900_000, 0, 2_500_000, Effect.UNSAFE, Group.ALL, 0, 3, 0, false));
        return new Settings(
                index,
                balancers,
                42 + index,
                "here",
                List.of("here", "there"),
                List.of("plain", "origin"),
                List.of("tier"),
                0,
                classes,
                tenants ? List.of(new Tenant("t", 1, 400)) : List.of(),
                membership,
                new Origin(Mode.ASIDE, 1, 3, 3 * SECOND),
                new Limits(
                        maxAttempts, 20_000, false, true, false, true, true, 2 * SECOND, 150_000, 30 * SECOND, 1, 0, 0),
                new RuleFigures(20_000, SECOND, 10 * SECOND, 0.3, 8 * SECOND, 3, SECOND),
                new Prices(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0),
                new Goal(1, 0, 0, 0),
                Reports.NONE,
                List.of(),
                Weights.NONE,
                false,
                0.1,
                false,
                5_000);
    }

    /** Passes an event at the current time, and returns the actions that it caused. */
    List<Action> event(Event event) {
        int before = actions.size();
        rules.decide(now, event, action -> {
            actions.add(action);
            if (action instanceof SetTimer timer) {
                timerAt = now + timer.delayMicros();
            }
        });
        return List.copyOf(actions.subList(before, actions.size()));
    }

    /** Advances the time, firing timers as they expire; returns the actions of that time. */
    List<Action> pass(long micros) {
        int before = actions.size();
        long end = now + micros;
        while (timerAt <= end) {
            now = timerAt;
            timerAt = Long.MAX_VALUE;
            event(new TimerFired(1));
        }
        now = end;
        return List.copyOf(actions.subList(before, actions.size()));
    }

    List<Action> list(ListKind kind, List<Server> servers) {
        return event(new ServerList(kind, 1, servers));
    }

    List<Action> request(String id, String requestClass, long key, boolean write) {
        return event(new Request(id, requestClass, "t", true, key, now + 1_500_000, 0, 0, false, write));
    }

    List<Action> read(String id, long key) {
        return request(id, "read", key, false);
    }

    List<Action> end(Send send, Outcome outcome) {
        return end(send, outcome, outcome == Outcome.MISS ? 2 : 0);
    }

    List<Action> end(Send send, Outcome outcome, int note) {
        boolean done = outcome == Outcome.SERVED;
        return event(new AttemptEnded(
                send.request(), attempts++, send.server(), outcome, 30_000, done, note, new double[0]));
    }

    static List<Send> sends(List<Action> actions) {
        return of(actions, Send.class);
    }

    static <T extends Action> List<T> of(List<Action> actions, Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static Send onlySend(List<Action> actions) {
        List<Send> sends = sends(actions);
        if (sends.size() != 1) {
            throw new AssertionError("one send expected in " + actions);
        }
        return sends.get(0);
    }
}
