package baymoor.inventory;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.json.JSONObject;
import org.junit.Test;

/** How a watch's stream of lists is split into objects. */
public class ListLinesTest {

    private static final int MAX_OBJECT_BYTES = 16 << 20;
    private static final int READ_BYTES = 2048;
    /** The largest fleet. */
    private static final int ROUTERS = 3200;
    /** A request is lost half a second after its deadline; a list must not hold up the decision thread for as long. */
    private static final long MAX_CPU_MILLIS = 500;

    private final List<String> objects = new ArrayList<>();
    private int malformed;
    private int heartbeats;
    private final ListLines lines = new ListLines(MAX_OBJECT_BYTES, new ListLines.Listener() {
        @Override
        public void onObject(String object) {
            objects.add(object);
        }

        @Override
        public void onMalformed() {
            malformed++;
        }

        @Override
        public void onHeartbeat() {
            heartbeats++;
        }
    });

    private void feed(String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int from = 0; from < bytes.length; from += READ_BYTES) {
            lines.feed(Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + READ_BYTES)));
        }
    }

    private static String indentedList(int routers) {
        String endpoints = IntStream.range(0, routers)
                .mapToObj(i -> "    {\n      \"name\": \"s-" + i + "\",\n      \"address\": \"10.0.0.1:6379\",\n"
                        + "      \"zone\": \"a\",\n      \"type\": \"m2\",\n      \"group\": 0,\n"
                        + "      \"status\": \"in_service\",\n      \"weight\": 1.0,\n      \"since_ms\": 0\n    }")
                .collect(Collectors.joining(",\n"));
        return "{\n  \"index\": 7,\n  \"snapshot\": true,\n  \"endpoints\": [\n" + endpoints + "\n  ]\n}\n";
    }

    /** Guards against a decision thread that is busy for seconds with an indented list, with the square of its size. */
    @Test
    public void anIndentedListOfTheLargestFleetTakesLittleTime() throws Exception {
        String list = indentedList(ROUTERS);
        feed(indentedList(20)); // loads the classes
        objects.clear();
        var threads = ManagementFactory.getThreadMXBean();
        long startNanos = threads.getCurrentThreadCpuTime();
        feed(list);
        long cpuMillis = TimeUnit.NANOSECONDS.toMillis(threads.getCurrentThreadCpuTime() - startNanos);
        assertEquals(1, objects.size());
        assertEquals(
                ROUTERS,
                new JSONObject(objects.get(0)).getJSONArray("endpoints").length());
        assertEquals(0, malformed);
        assertTrue(cpuMillis + " ms", cpuMillis < MAX_CPU_MILLIS);
    }

    @Test
    public void aTruncatedIndentedListEndsBeforeALineThatIsACompleteList() throws Exception {
        String whole = "{\"index\":8,\"snapshot\":true,\"endpoints\":[]}";
        feed("{\n  \"index\": 7,\n  \"endpoints\": [\n    {\n" + whole + "\n");
        assertEquals(List.of(whole), objects);
        assertEquals(1, malformed);
        assertEquals(1, heartbeats);
    }

    @Test
    public void aTruncatedIndentedListEndsAtAnEmptyLine() throws Exception {
        feed("{\n  \"index\": 7,\n  \"endpoints\": [\n\n{\"index\":8}\n");
        assertEquals(List.of("{\"index\":8}"), objects);
        assertEquals(1, malformed);
    }
}
