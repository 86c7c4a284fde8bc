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

/**
 * Parses the fields of an ATTACH line into the settings of a decision-module instance. Unknown fields are ignored,
 * and an absent optional field gets a default.
 */
final class SettingsParser {

    private static final String MESSAGE_TYPE = "ATTACH";

    private final Map<String, String> fields = new HashMap<>();

    SettingsParser(ProtocolLine line) {
        for (int i = 0; i < line.fieldCount(); i++) {
            fields.put(line.fieldName(i), line.fieldValue(i));
        }
    }

    /**
     * Returns the settings. For "membership_mode", a list that has to be subscribed to is asked for, one that comes by
     * itself is pushed.
     *
     * @throws MalformedLineException if a required field is missing or a number can't be parsed
     * @throws IllegalArgumentException if the settings are inconsistent
     */
    Settings parse() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < getLong("classes.count", 0); i++) {
            String prefix = "classes." + i + ".";
            Effect effect = getEnum(prefix + "effect", Effect.UNSAFE, "retryable", Effect.SAFE, "dedup", Effect.KEYED);
            Group group = getEnum(prefix + "group", Group.CELL, "all", Group.ALL, "zone", Group.ZONE);
            classes.add(new RequestClass(
                    getRequired(prefix + "name"),
                    getLong(prefix + "on_time", 0),
                    getDouble(prefix + "aim_stretch", 0),
                    getRequiredLong(prefix + "hard_limit"),
                    effect,
                    group,
                    getLong(prefix + "key_ttl", 0),
                    getDouble(prefix + "value", 1),
                    getDouble(prefix + "late_worth", 0),
                    getBoolean(prefix + "streamed")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < getLong("tenants.count", 0); i++) {
            String prefix = "tenants." + i + ".";
            tenants.add(new Tenant(
                    getRequired(prefix + "name"),
                    getDouble(prefix + "share", 0),
                    getDouble(prefix + "quota_per_s", 0)));
        }
        List<String> layers = getList("layers");
        return new Settings(
                (int) getRequiredLong("me"),
                (int) getRequiredLong("siblings"),
                getRequiredLong("nonce64"),
                getString("az", ""),
                getList("failure_domains"),
                getList("skus"),
                layers,
                (int) getLong("layer", 0),
                classes,
                tenants,
                getEnum("membership_mode", Membership.PUSH, "subscribe", Membership.ASK, "automatic", Membership.PUSH),
                new Origin(
                        getEnum("extra.mode", Mode.THROUGH, "aside", Mode.ASIDE, "through", Mode.THROUGH),
                        (int) getLong("extra.origin_kind", -1),
                        getDouble("extra.origin_fall_multiple", 0),
                        getLong("extra.origin_fall", 0)),
                parseLimits(),
                parseRules(),
                parsePrices(),
                new Goal(
                        getDouble("scoring_mix.whole", 1),
                        getDouble("scoring_mix.worst_window", 0),
                        getDouble("scoring_mix.worst_class", 0),
                        getDouble("scoring_mix.worst_tenant", 0)),
                getEnum("load_info.how", Reports.NONE, "inline", Reports.WITH_ANSWERS, "on_probe", Reports.WITH_PROBES),
                getList("load_info.names"),
                parseWeights(),
                getString("counted_by", "request").equals("work"),
                getDouble("over_share_worth", 1),
                getBoolean("client_habits.marks_retry"),
                getLong("tick", 0));
    }

    private Limits parseLimits() {
        return new Limits(
                (int) getLong("limits.max_attempts", 1),
                (int) getLong("limits.open_cap", 0),
                getBoolean("limits.second_copies"),
                getBoolean("limits.may_cancel"),
                getBoolean("limits.may_probe"),
                getBoolean("limits.may_tell"),
                getBoolean("limits.retry_after"),
                getLong("limits.max_retry_after", 0),
                getLong("limits.connect_timeout", 0),
                getLong("limits.idle_close", 0),
                (int) getLong("limits.streams_per_conn", 1),
                getDouble("limits.cpu_us_per_s", 0),
                getDouble("limits.cpu_us_per_request", 0));
    }

    private RuleFigures parseRules() {
        return new RuleFigures(
                getLong("rules.answer_slack", 0),
                getLong("rules.drain_grace", 0),
                getLong("rules.ask_within", 0),
                getDouble("rules.start_capacity", 0),
                getLong("rules.cold", 0),
                getDouble("rules.tip_multiple", 0),
                getLong("rules.overload_for", 0));
    }

    private Prices parsePrices() {
        return new Prices(
                getDouble("prices.connection", 0),
                getDouble("prices.cross_zone", 0),
                getDouble("prices.membership_mode", 0),
                getDouble("prices.fleet", 0),
                getDouble("prices.handshake", 0),
                getDouble("prices.late_fail", 0),
                getDouble("prices.moves", 0),
                getDouble("prices.origin", 0),
                getDouble("prices.peer", 0),
                getDouble("prices.probe", 0),
                getDouble("prices.waste", 0));
    }

    private Weights parseWeights() {
        return switch (getString("weights", "off")) {
            case "nominal" -> Weights.NOMINAL;
            case "rough" -> Weights.ROUGH;
            case "live" -> Weights.LIVE;
            default -> Weights.NONE;
        };
    }

    private String getString(String key, String defaultValue) {
        return fields.getOrDefault(key, defaultValue);
    }

    private String getRequired(String key) {
        String value = fields.get(key);
        if (value == null) {
            throw new MalformedLineException(MESSAGE_TYPE, key);
        }
        return value;
    }

    private long getRequiredLong(String key) {
        getRequired(key);
        return getLong(key, 0);
    }

    /** Returns the field as a long, truncating any fraction. */
    private long getLong(String key, long defaultValue) {
        String value = fields.get(key);
        try {
            return value == null ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return (long) getDouble(key, defaultValue);
        }
    }

    private double getDouble(String key, double defaultValue) {
        String value = fields.get(key);
        try {
            return value == null ? defaultValue : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedLineException(MESSAGE_TYPE, key);
        }
    }

    private boolean getBoolean(String key) {
        String value = getString(key, "false");
        return value.equals("true") || value.equals("1");
    }

    private List<String> getList(String key) {
        String value = getString(key, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    /** Returns the value that the field names, or the default if the field is absent or names neither value. */
    private <T> T getEnum(
            String key, T defaultValue, String firstName, T firstValue, String secondName, T secondValue) {
        String name = getString(key, "");
        return name.equals(firstName) ? firstValue : name.equals(secondName) ? secondValue : defaultValue;
    }
}
