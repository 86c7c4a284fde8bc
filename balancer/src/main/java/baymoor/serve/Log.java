package baymoor.serve;

import java.io.PrintStream;
import java.time.Clock;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.function.Consumer;
import org.json.JSONObject;

/**
 * The serving program's log on standard error: the fields of the tools' logs (time, level, instance, event, then names
 * with values), without their library, which would cost a third of a second at each start. {@code ROUTER_LOG=json}
 * makes each line a JSON object.
 */
final class Log implements Consumer<String> {

    private final PrintStream out;
    private final Clock clock;
    private final String instance;
    private final boolean json;

    Log(PrintStream out, Clock clock, String instance, boolean json) {
        this.out = out;
        this.clock = clock;
        this.instance = instance;
        this.json = json;
    }

    static Log fromEnvironment(Map<String, String> environment, String instance) {
        return new Log(System.err, Clock.systemUTC(), instance, "json".equals(environment.get("ROUTER_LOG")));
    }

    /** A line of a state machine's: what stands before its first colon names the event. */
    @Override
    public void accept(String line) {
        int colon = line.indexOf(": ");
        boolean hasEventName =
                colon > 0 && line.substring(0, colon).chars().allMatch(c -> c >= 'a' && c <= 'z' || c == ' ');
        String event = hasEventName ? line.substring(0, colon).replace(' ', '-') : "note";
        event(
                event.endsWith("failed") ? "WARN" : "INFO",
                event,
                Map.of("detail", hasEventName ? line.substring(colon + 2) : line));
    }

    /**
     * As ISO 8601 has it. Measured: the JDK's formatters take 12 ms of a whole core when first used, which is the first line
     * of the first busy second, on the decision thread; a date's own text needs none of them and takes 1 ms.
     */
    private static String formatTime(long epochMillis) {
        String text = LocalDateTime.ofEpochSecond(
                        Math.floorDiv(epochMillis, 1000L), Math.floorMod(epochMillis, 1000) * 1_000_000, ZoneOffset.UTC)
                .toString();
        String withSeconds = text.length() == "2026-01-02T03:04".length() ? text + ":00" : text;
        return withSeconds.indexOf('.') < 0 ? withSeconds + ".000Z" : withSeconds + "Z";
    }

    /** @param values in the order in which they are to stand */
    void event(String level, String event, Map<String, String> values) {
        String timestamp = formatTime(clock.millis());
        StringBuilder line = new StringBuilder();
        if (json) {
            line.append("{\"time\":")
                    .append(JSONObject.quote(timestamp))
                    .append(",\"level\":\"")
                    .append(level)
                    .append("\",\"instance\":")
                    .append(JSONObject.quote(instance))
                    .append(",\"event\":")
                    .append(JSONObject.quote(event));
            values.forEach((name, value) ->
                    line.append(',').append(JSONObject.quote(name)).append(':').append(JSONObject.quote(value)));
            line.append('}');
        } else {
            line.append(timestamp)
                    .append(' ')
                    .append(level)
                    .append(' ')
                    .append(instance)
                    .append(' ')
                    .append(event);
            values.forEach((name, value) -> line.append(' ')
                    .append(name)
                    .append('=')
                    .append(value.indexOf(' ') < 0 ? value : JSONObject.quote(value)));
        }
        out.println(line);
    }
}
