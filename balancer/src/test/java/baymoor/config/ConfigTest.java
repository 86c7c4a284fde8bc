package baymoor.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import merlinstep.Decisions;
import org.junit.Test;

public class ConfigTest {

    static final String VALID = """
            {"name":"n0","listen":"127.0.0.1:6379","discovery":"127.0.0.1:8500","seed":"92094eb940cf389a",
             "limits":{"sockets":1024,"memory_mb":128},"peers":["127.0.0.1:1"],
             "settings":{"me":0,"siblings":1,"tick":5000,"tenants":[],"extra":{"mode":"aside","origin_kind":1},
              "skus":["two-core","origin"],"classes":[{"name":"read","hard_limit":1500000,"key_ttl":0,"effect":"retryable"}],
              "limits":{"max_attempts":5,"connect_timeout":250000}}}""";

    @Test
    public void validConfigurationIsParsed() throws ConfigException {
        Settings settings = Config.parse(VALID, Map.of());
        assertEquals("n0", settings.name());
        assertEquals(0x92094eb940cf389aL, settings.decisionSettings().seed());
        assertEquals(Decisions.Mode.ASIDE, settings.decisionSettings().origin().mode());
        assertEquals(
                Decisions.Effect.SAFE,
                settings.decisionSettings().classes().get(0).effect());
        assertEquals(250000, settings.decisionSettings().limits().connectTimeoutMicros());
    }

    @Test
    public void invalidFieldIsNamedInASingleLine() {
        String[][] cases = {
            {"\"127.0.0.1:6379\"", "\"localhost:6379\"", "listen"},
            {"\"127.0.0.1:6379\"", "\"127.0.0.1:70000\"", "listen"},
            {"\"127.0.0.1:8500\"", "7", "discovery"},
            {"\"92094eb940cf389a\"", "\"xyz\"", "seed"},
            {"\"sockets\":1024", "\"sockets\":10", "limits.sockets"},
            {"\"memory_mb\":128", "\"memory_mb\":\"x\"", "limits.memory_mb"},
            {"\"memory_mb\":128", "\"memory_mb\":0", "limits.memory_mb"},
            {",\"memory_mb\":128", "", "limits.memory_mb is missing"},
            {"[\"127.0.0.1:1\"]", "[1]", "peers[0]"},
            {"\"me\":0", "\"me\":\"0\"", "settings.me"},
            {"\"me\":0", "\"you\":0", "settings.me"},
            {"\"me\":0", "\"me\":3", "settings.me is not from 0 to"},
            {"\"retryable\"", "\"often\"", "settings.classes[0].effect"},
            {"\"hard_limit\":1500000", "\"hard_limit\":0", "settings.classes[0].hard_limit is under 1"},
            {"\"hard_limit\":1500000,", "", "settings.classes[0].hard_limit is missing"},
            {"\"max_attempts\":5", "\"max_attempts\":0", "settings.limits.max_attempts"},
            {"\"key_ttl\":0", "\"key_ttl\":-1", "settings.classes[0].key_ttl"},
            {"\"tenants\":[]", "\"tenants\":[{\"name\":\"a\",\"share\":-0.5}]", "settings.tenants[0].share"},
            {
                "\"effect\":\"retryable\"}",
                "\"effect\":\"retryable\"},{\"name\":\"read\",\"hard_limit\":9}",
                "settings.classes[1].name"
            },
            {"{\"name\":\"n0\"", "{{", "not JSON"},
        };
        for (String[] c : cases) {
            assertTrue(c[0], VALID.contains(c[0]));
            ConfigException error =
                    assertThrows(c[1], ConfigException.class, () -> Config.parse(VALID.replace(c[0], c[1]), Map.of()));
            assertTrue(
                    error.getMessage(),
                    error.getMessage().contains(c[2])
                            && error.getMessage().lines().count() == 1);
        }
    }
}
