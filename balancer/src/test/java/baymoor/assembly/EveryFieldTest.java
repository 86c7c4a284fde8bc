package baymoor.assembly;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import baymoor.FakeLink;
import baymoor.ManualTime;
import baymoor.config.BadConfig;
import baymoor.config.Config;
import baymoor.counters.Count;
import baymoor.counters.Counters;
import baymoor.link.LinkEvents;
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

/** A configuration with one field missing, of another kind or out of range: one line names it, or it serves. */
public class EveryFieldTest {

    private static final Object[] STRANGE = {
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
    private static final String ID = "7f3a9c21e0b4d655";

    private static String good() throws Exception {
        return Files.readString(Path.of("balancer/src/test/resources/pushed.json"));
    }

    /** Each place in an object, as the names and numbers that lead there. */
    private static List<List<Object>> places(Object in, List<Object> at) {
        List<List<Object>> all = new ArrayList<>();
        if (in instanceof JSONObject object) {
            for (String name : object.keySet()) {
                inner(object.get(name), at, name, all);
            }
        } else if (in instanceof JSONArray array) {
            for (int i = 0; i < array.length(); i++) {
                inner(array.get(i), at, i, all);
            }
        }
        return all;
    }

    private static void inner(Object value, List<Object> at, Object step, List<List<Object>> all) {
        List<Object> place = new ArrayList<>(at);
        place.add(step);
        all.add(place);
        all.addAll(places(value, place));
    }

    /** The configuration with another value at a place; null takes it out. */
    private static String with(List<Object> place, Object value) throws Exception {
        return with(new JSONObject(good()), place, value);
    }

    private static String with(JSONObject top, List<Object> place, Object value) {
        Object in = top;
        for (Object step : place.subList(0, place.size() - 1)) {
            in = step instanceof String name ? ((JSONObject) in).get(name) : ((JSONArray) in).get((Integer) step);
        }
        Object last = place.get(place.size() - 1);
        if (in instanceof JSONObject object) {
            if (value == null) {
                object.remove((String) last);
            } else {
                object.put((String) last, value);
            }
        } else if (value == null) {
            ((JSONArray) in).remove((Integer) last);
        } else {
            ((JSONArray) in).put((Integer) last, value);
        }
        return top.toString();
    }

    /** A place as operators read it, settings.classes[0].on_time. */
    private static String path(List<Object> place) {
        StringBuilder path = new StringBuilder();
        for (Object step : place) {
            path.append(step instanceof String name ? (path.isEmpty() ? "" : ".") + name : "[" + step + "]");
        }
        return path.toString();
    }

    /** Null if all is well with a configuration, or what isn't; {@code place} is what a refusal has to name. */
    private static String wrong(String config, String place) {
        Counters counters = new Counters();
        ManualTime time = new ManualTime();
        FakeLink client = new FakeLink();
        try {
            Assembly assembly = new Assembly(
                    Config.parse(config, Map.of()),
                    new Assembly.Surroundings(
                            time,
                            (to, events) -> {
                                FakeLink link = new FakeLink();
                                link.events = events;
                                return link;
                            },
                            (to, content) -> {},
                            millis -> millis * 1000,
                            1 << 20,
                            counters,
                            line -> {}));
            assembly.start(() -> {});
            LinkEvents events = assembly.client(client);
            client.events = events;
            events.opened();
            events.received(RespWriter.command(
                    RespWriter.ascii("OBJ.GET"),
                    RespWriter.ascii("0a"),
                    RespWriter.ascii(ID),
                    RespWriter.ascii("c=path-lookup,t=nordgods,d=800")));
            for (int i = 0; i < 40; i++) {
                time.pass(50_000);
            }
        } catch (BadConfig e) {
            String said = e.getMessage();
            return said.startsWith("config: ") && said.lines().count() == 1 && said.contains(place)
                    ? null
                    : "said: " + said;
        } catch (RuntimeException | Error e) {
            return e + " at " + e.getStackTrace()[0];
        }
        long failures = counters.get(Count.DECISION_FAILURES) + counters.get(Count.TASK_FAILURES);
        if (failures > 0) {
            return failures + " failures while it served";
        }
        String out = client.out.toString();
        return out.startsWith("-") && out.endsWith("\r\n") && out.indexOf("\r\n") == out.length() - 2
                ? null
                : "answered '" + out.strip() + "'";
    }

    @Test
    public void eachFieldOfEachPlace() throws Exception {
        assertEquals(null, wrong(good(), ""));
        Map<String, String> wrong = new TreeMap<>();
        List<List<Object>> places = places(new JSONObject(good()), List.of());
        for (List<Object> place : places) {
            String missing = wrong(with(place, null), path(place));
            if (missing != null) {
                wrong.put(place + " missing", missing);
            }
            for (Object strange : STRANGE) {
                String said = wrong(with(place, strange), path(place));
                if (said != null) {
                    wrong.put(place + " = " + strange, said);
                }
            }
        }
        assertTrue(places.size() > 100);
        assertEquals(wrong.size() + " of " + places.size() * (STRANGE.length + 1), Map.of(), wrong);
    }

    /** Settings that are odd and not wrong: a request is answered under each. */
    @Test
    public void oddSettingsServe() throws Exception {
        Object[][] cases = {
            {"key_ttl", 0, "a window of nothing: what may have run is never sent again"},
            {"on_time", 0, "no aim: a request is of use until its deadline"},
            {"on_time", 9_000_000, "an aim beyond the deadline"},
            {"value", 0, "a class that is worth nothing"},
            {"share", 0.9, "shares that come to more than all"},
            {"share", 0, "shares that come to nothing"},
            {"quota_per_s", 0, "no quota for anybody"},
            {"connect_timeout", 0, "no time for a connection is said"},
            {"idle_close", 0, "connections that are never closed as idle"},
            {"open_cap", 0, "no bound on open requests"},
            {"max_retry_after", 0, "no advice on when to come again"},
            {"drain_grace", 0, "no grace"},
            {"ask_within", 0, "no time to ask within"},
            {"tip_multiple", 0, "cold caches that fall at nothing"},
            {"tick", 0, "no tick"},
            {"cpu_us_per_s", 0, "no bound on processor time"},
        };
        for (Object[] c : cases) {
            JSONObject top = new JSONObject(good());
            List<List<Object>> named = places(top, List.of()).stream()
                    .filter(p -> c[0].equals(p.get(p.size() - 1)))
                    .toList();
            String config = top.toString();
            for (List<Object> place : named) {
                config = with(new JSONObject(config), place, c[1]);
            }
            assertTrue(c[0] + " is in no place", !named.isEmpty());
            assertEquals((String) c[2], null, wrong(config, "nothing is to be refused"));
        }
    }

    @Test
    public void whatIsNotJsonAtAll() {
        for (String text : new String[] {"", "[]", "null", "{", "{\"name\":}", "\u0000"}) {
            assertEquals(text, null, wrong(text, ""));
        }
        assertTrue(wrong(new String(new byte[] {(byte) 0xff}, StandardCharsets.ISO_8859_1), "") == null);
    }
}
