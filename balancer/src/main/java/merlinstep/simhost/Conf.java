package merlinstep.simhost;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import merlinstep.Decisions.Effect;
import merlinstep.Decisions.Goal;
import merlinstep.Decisions.Group;
import merlinstep.Decisions.Limits;
import merlinstep.Decisions.Membership;
import merlinstep.Decisions.Mode;
import merlinstep.Decisions.Origin;
import merlinstep.Decisions.Prices;
import merlinstep.Decisions.Reports;
import merlinstep.Decisions.RequestClass;
import merlinstep.Decisions.RuleFigures;
import merlinstep.Decisions.Settings;
import merlinstep.Decisions.Tenant;
import merlinstep.Decisions.Weights;

/** Turns the pairs of an attach line into settings; what is absent or unknown gets the value of no such limit. */
final class Conf {

    private static final String MESSAGE = "ATTACH";

    private final Map<String, String> pairs = new HashMap<>();

    Conf(ProtocolLine line) {
        for (int i = 0; i < line.fieldCount(); i++) {
            pairs.put(line.fieldName(i), line.fieldValue(i));
        }
    }

    Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < whole("classes.count", 0); i++) {
            String at = "classes." + i + ".";
            Effect effect = choice(at + "effect", Effect.UNSAFE, "retryable", Effect.SAFE, "dedup", Effect.KEYED);
            Group group = choice(at + "group", Group.CELL, "all", Group.ALL, "zone", Group.ZONE);
            classes.add(new RequestClass(
                    needed(at + "name"),
                    whole(at + "on_time", 0),
                    real(at + "aim_stretch", 0),
                    neededWhole(at + "hard_limit"),
                    effect,
                    group,
                    whole(at + "key_ttl", 0),
                    real(at + "value", 1),
                    real(at + "late_worth", 0),
                    flag(at + "streamed")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < whole("tenants.count", 0); i++) {
            String at = "tenants." + i + ".";
            tenants.add(new Tenant(needed(at + "name"), real(at + "share", 0), real(at + "quota_per_s", 0)));
        }
        List<String> layers = list("layers");
        return new Settings(
                (int) neededWhole("me"),
                (int) neededWhole("siblings"),
                neededWhole("nonce64"),
                text("az", ""),
                list("failure_domains"),
                list("skus"),
                layers,
                (int) whole("layer", 0),
                classes,
                tenants,
                choice("membership_mode", Membership.PUSH, "subscribe", Membership.ASK, "automatic", Membership.PUSH),
                new Origin(
                        choice("extra.mode", Mode.THROUGH, "aside", Mode.ASIDE, "through", Mode.THROUGH),
                        (int) whole("extra.origin_kind", -1),
                        real("extra.origin_fall_multiple", 0),
                        whole("extra.origin_fall", 0)),
                limits(),
                rules(),
                prices(),
                new Goal(
                        real("scoring_mix.whole", 1),
                        real("scoring_mix.worst_window", 0),
                        real("scoring_mix.worst_class", 0),
                        real("scoring_mix.worst_tenant", 0)),
                choice("load_info.how", Reports.NONE, "inline", Reports.WITH_ANSWERS, "on_probe", Reports.WITH_PROBES),
                list("load_info.names"),
                weights(),
                text("counted_by", "request").equals("work"),
                real("over_share_worth", 1),
                flag("client_habits.marks_retry"),
                whole("tick", 0));
    }

    private Limits limits() {
        return new Limits(
                (int) whole("limits.max_attempts", 1),
                (int) whole("limits.open_cap", 0),
                flag("limits.second_copies"),
                flag("limits.may_cancel"),
                flag("limits.may_probe"),
                flag("limits.may_tell"),
                flag("limits.retry_after"),
                whole("limits.max_retry_after", 0),
                whole("limits.connect_timeout", 0),
                whole("limits.idle_close", 0),
                (int) whole("limits.streams_per_conn", 1),
                real("limits.cpu_us_per_s", 0),
                real("limits.cpu_us_per_request", 0));
    }

    private RuleFigures rules() {
        return new RuleFigures(
                whole("rules.answer_slack", 0),
                whole("rules.drain_grace", 0),
                whole("rules.ask_within", 0),
                real("rules.start_capacity", 0),
                whole("rules.cold", 0),
                real("rules.tip_multiple", 0),
                whole("rules.overload_for", 0));
    }

    private Prices prices() {
        return new Prices(
                real("prices.connection", 0),
                real("prices.cross_zone", 0),
                real("prices.membership_mode", 0),
                real("prices.fleet", 0),
                real("prices.handshake", 0),
                real("prices.late_fail", 0),
                real("prices.moves", 0),
                real("prices.origin", 0),
                real("prices.peer", 0),
                real("prices.probe", 0),
                real("prices.waste", 0));
    }

    private Weights weights() {
        return switch (text("weights", "off")) {
            case "nominal" -> Weights.NOMINAL;
            case "rough" -> Weights.ROUGH;
            case "live" -> Weights.LIVE;
            default -> Weights.NONE;
        };
    }

    private String text(String path, String absent) {
        return pairs.getOrDefault(path, absent);
    }

    private String needed(String path) {
        String value = pairs.get(path);
        if (value == null) {
            throw new MalformedLineException(MESSAGE, path);
        }
        return value;
    }

    private long neededWhole(String path) {
        needed(path);
        return whole(path, 0);
    }

    private long whole(String path, long absent) {
        String value = pairs.get(path);
        try {
            return value == null ? absent : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) real(path, absent);
        }
    }

    private double real(String path, double absent) {
        String value = pairs.get(path);
        try {
            return value == null ? absent : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedLineException(MESSAGE, path);
        }
    }

    private boolean flag(String path) {
        String value = text(path, "false");
        return value.equals("true") || value.equals("1");
    }

    private List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private <T> T choice(String path, T other, String word1, T value1, String word2, T value2) {
        String word = text(path, "");
        return word.equals(word1) ? value1 : word.equals(word2) ? value2 : other;
    }
}
