package baymoor.serve;

import java.io.PrintStream;
import java.time.Clock;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.Map;
import java.util.function.Consumer;
import org.json.JSONObject;

/**
 * Writes the balancer's log to a stream, normally standard error, with the same fields as the logs of the command-line tools:
 * time, level, instance, event, then names with values. Uses no logging library, whose loading would delay the start.
 * {@code ROUTER_LOG=json} makes each line a JSON object. Lines may be written from any thread.
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

    /** Returns a log on standard error in the format that the environment asks for. */
    static Log fromEnvironment(Map<String, String> environment, String instance) {
        return new Log(System.err, Clock.systemUTC(), instance, "json".equals(environment.get("ROUTER_LOG")));
    }

    /** Logs a line of the form {@code event: detail}; one without an event is logged as {@code note}. */
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
     * Formats a time as ISO 8601 with milliseconds. Not with a {@code DateTimeFormatter}, whose initialization would stall the
     * decision thread at the first logged line.
     */
    private static String formatTime(long epochMillis) {
        String text = LocalDateTime.ofEpochSecond(
                        Math.floorDiv(epochMillis, 1000L), Math.floorMod(epochMillis, 1000) * 1_000_000, ZoneOffset.UTC)
                .toString();
        String withSeconds = text.length() == "2026-01-02T03:04".length() ? text + ":00" : text;
        return withSeconds.indexOf('.') < 0 ? withSeconds + ".000Z" : withSeconds + "Z";
    }

    /**
     * Logs an event.
     *
     * @param fields names and values, in the order in which they are written
     */
    void event(String level, String event, Map<String, String> fields) {
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
            fields.forEach((name, value) ->
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
            fields.forEach((name, value) -> line.append(' ')
                    .append(name)
                    .append('=')
                    .append(value.indexOf(' ') < 0 ? value : JSONObject.quote(value)));
        }
        out.println(line);
    }
}
