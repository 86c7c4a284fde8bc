package baymoor.serve;

import static org.junit.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import org.json.JSONObject;
import org.junit.Test;

public class LogTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private String logged(boolean json, String line) {
        Clock clock = Clock.fixed(Instant.parse("2026-01-02T03:04:05.678Z"), ZoneOffset.UTC);
        new Log(new PrintStream(out, true, StandardCharsets.UTF_8), clock, "n3", json).accept(line);
        return out.toString(StandardCharsets.UTF_8).trim();
    }

    @Test
    public void aTextLineHasTimeLevelInstanceAndEvent() {
        assertEquals(
                "2026-01-02T03:04:05.678Z INFO n3 config detail=\"read again\"", logged(false, "config: read again"));
    }

    @Test
    public void anEventNameEndingInFailedIsLoggedAsAWarning() {
        assertEquals("2026-01-02T03:04:05.678Z WARN n3 task-failed detail=now", logged(false, "task failed: now"));
    }

    @Test
    public void aJsonLineIsOneObjectWhateverTheMessageContains() {
        JSONObject logLine = new JSONObject(logged(true, "two \"words\"\nand a line: end"));
        assertEquals("n3", logLine.getString("instance"));
        assertEquals("note", logLine.getString("event"));
        assertEquals("two \"words\"\nand a line: end", logLine.getString("detail"));
    }

    @Test
    public void everyTimestampHasSecondsAndMilliseconds() {
        for (String time : new String[] {
            "2026-01-02T03:04:00.000Z",
            "2026-01-02T03:04:05.000Z",
            "2026-01-02T03:04:05.010Z",
            "1969-12-31T23:59:59.999Z"
        }) {
            out.reset();
            new Log(
                            new PrintStream(out, true, StandardCharsets.UTF_8),
                            Clock.fixed(Instant.parse(time), ZoneOffset.UTC),
                            "n",
                            false)
                    .accept("a: b");
            assertEquals(
                    time + " INFO n a detail=b",
                    out.toString(StandardCharsets.UTF_8).trim());
        }
    }
}
