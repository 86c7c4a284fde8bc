package baymoor.assembly;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.config.Config;
import baymoor.config.ConfigException;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.LinkEvents;
import baymoor.memory.ClientMemory;
import baymoor.resp.RespWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.Test;

/** A configuration with a field that is missing, mistyped or out of range is rejected by the field's name, or serves. */
public class EveryFieldTest {

    private static final Object[] UNUSUAL_VALUES = {
        "",
        "strange",
        -1,
        0,
        0.5,
        1_000_000_000_000_000_000L,
        -1e300,
        true,
        JSONObject.NULL,
        new JSONObject(),
        new JSONArray(),
        new JSONArray(List.of(JSONObject.NULL))
    };
    private static final String REQUEST_ID = "7f3a9c21e0b4d655";

    private static String validConfig() throws Exception {
        return Files.readString(Path.of("balancer/src/test/resources/pushed.json"));
    }

    /** Returns the path of every value in a container, as the keys and indexes that lead to it. */
    private static List<List<Object>> fieldPaths(Object container, List<Object> parent) {
        List<List<Object>> paths = new ArrayList<>();
        if (container instanceof JSONObject object) {
            for (String name : object.keySet()) {
                addWithChildren(object.get(name), parent, name, paths);
            }
        } else if (container instanceof JSONArray array) {
            for (int i = 0; i < array.length(); i++) {
                addWithChildren(array.get(i), parent, i, paths);
            }
        }
        return paths;
    }

    private static void addWithChildren(Object value, List<Object> parent, Object key, List<List<Object>> paths) {
        List<Object> path = new ArrayList<>(parent);
        path.add(key);
        paths.add(path);
        paths.addAll(fieldPaths(value, path));
    }

    /** Returns the valid configuration with another value at a path; null removes it. */
    private static String withValue(List<Object> path, Object value) throws Exception {
        return withValue(new JSONObject(validConfig()), path, value);
    }

    private static String withValue(JSONObject top, List<Object> path, Object value) {
        Object container = top;
        for (Object key : path.subList(0, path.size() - 1)) {
            container = key instanceof String name
                    ? ((JSONObject) container).get(name)
                    : ((JSONArray) container).get((Integer) key);
        }
        Object lastKey = path.get(path.size() - 1);
        if (container instanceof JSONObject object) {
            if (value == null) {
                object.remove((String) lastKey);
            } else {
                object.put((String) lastKey, value);
            }
        } else if (value == null) {
            ((JSONArray) container).remove((Integer) lastKey);
        } else {
            ((JSONArray) container).put((Integer) lastKey, value);
        }
        return top.toString();
    }

    /** Formats a path as it is shown to operators: settings.classes[0].on_time. */
    private static String dottedPath(List<Object> path) {
        StringBuilder text = new StringBuilder();
        for (Object key : path) {
            text.append(key instanceof String name ? (text.isEmpty() ? "" : ".") + name : "[" + key + "]");
        }
        return text.toString();
    }

    /**
     * Starts a balancer and sends it a request.
     *
     * @param expectedField what the error message must name if the configuration is rejected
     * @return what went wrong, null if the request was answered or the configuration was rejected as it should be
     */
    private static String problem(String config, String expectedField) {
        Counters counters = new Counters();
        ManualTime time = new ManualTime();
        FakeLink client = new FakeLink();
        try {
            Assembly assembly = new Assembly(
                    Config.parse(config, Map.of()),
                    new Assembly.Environment(
                            time,
                            (to, events) -> {
                                FakeLink link = new FakeLink();
                                link.events = events;
                                return link;
                            },
                            (to, content) -> {},
                            millis -> millis * 1000,
                            new ClientMemory(6 << 20, 64),
                            counters,
                            line -> {}));
            assembly.start(() -> {});
            LinkEvents events = assembly.clientConnected(client);
            client.events = events;
            events.opened();
            events.received(RespWriter.command(
                    RespWriter.utf8("OBJ.GET"),
                    RespWriter.utf8("0a"),
                    RespWriter.utf8(REQUEST_ID),
                    RespWriter.utf8("c=path-lookup,t=nordgods,d=800")));
            for (int i = 0; i < 40; i++) {
                time.advance(50_000);
            }
        } catch (ConfigException e) {
            String message = e.getMessage();
            return message.startsWith("config: ") && message.lines().count() == 1 && message.contains(expectedField)
                    ? null
                    : "unexpected error message: " + message;
        } catch (RuntimeException | Error e) {
            return e + " at " + e.getStackTrace()[0];
        }
        long failures = counters.get(Count.DECISION_FAILURES) + counters.get(Count.TASK_FAILURES);
        if (failures > 0) {
            return failures + " failures while serving";
        }
        String out = client.out.toString();
        return out.startsWith("-") && out.endsWith("\r\n") && out.indexOf("\r\n") == out.length() - 2
                ? null
                : "answered '" + out.strip() + "'";
    }

    @Test
    public void missingOrUnusualFieldIsNamedInTheErrorOrTheBalancerServes() throws Exception {
        assertEquals(null, problem(validConfig(), ""));
        Map<String, String> problems = new TreeMap<>();
        List<List<Object>> paths = fieldPaths(new JSONObject(validConfig()), List.of());
        for (List<Object> path : paths) {
            String missing = problem(withValue(path, null), dottedPath(path));
            if (missing != null) {
                problems.put(path + " missing", missing);
            }
            for (Object unusual : UNUSUAL_VALUES) {
                String invalid = problem(withValue(path, unusual), dottedPath(path));
                if (invalid != null) {
                    problems.put(path + " = " + unusual, invalid);
                }
            }
        }
        assertTrue(paths.size() > 100);
        assertEquals(problems.size() + " of " + paths.size() * (UNUSUAL_VALUES.length + 1), Map.of(), problems);
    }

    /** Unusual settings that are valid: a request is answered under each. */
    @Test
    public void unusualButValidSettingsServe() throws Exception {
        Object[][] cases = {
            {"key_ttl", 0, "no deduplication window: what may have run is never sent again"},
            {"on_time", 0, "no latency target before the deadline"},
            {"on_time", 9_000_000, "a latency target beyond the deadline"},
            {"value", 0, "a class without value"},
            {"share", 0.9, "shares with a sum above 1"},
            {"share", 0, "shares with a sum of 0"},
            {"quota_per_s", 0, "no quota for any tenant"},
            {"connect_timeout", 0, "no connect time-out"},
            {"idle_close", 0, "no idle time-out"},
            {"open_cap", 0, "no limit of open requests"},
            {"max_retry_after", 0, "no retry-after"},
            {"drain_grace", 0, "no drain grace"},
            {"ask_within", 0, "no time to ask for the list"},
            {"tip_multiple", 0, "cold caches that are overloaded by any load"},
            {"tick", 0, "no tick"},
            {"cpu_us_per_s", 0, "no CPU limit"},
        };
        for (Object[] c : cases) {
            JSONObject top = new JSONObject(validConfig());
            List<List<Object>> matching = fieldPaths(top, List.of()).stream()
                    .filter(p -> c[0].equals(p.get(p.size() - 1)))
                    .toList();
            String config = top.toString();
            for (List<Object> path : matching) {
                config = withValue(new JSONObject(config), path, c[1]);
            }
            assertTrue(c[0] + " is not in the configuration", !matching.isEmpty());
            assertEquals((String) c[2], null, problem(config, "no field may be rejected"));
        }
    }

    @Test
    public void textThatIsNotJsonIsRejected() {
        for (String text : new String[] {"", "[]", "null", "{", "{\"name\":}", "\u0000"}) {
            assertEquals(text, null, problem(text, ""));
        }
        assertTrue(problem(new String(new byte[] {(byte) 0xff}, StandardCharsets.ISO_8859_1), "") == null);
    }
}
