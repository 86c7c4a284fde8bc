package baymoor.tier.place;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Test;

public class PlacesReaderTest {

    private static final String VALID = """
            balancers = 5 # all of them
            largest_group = 4
            [[zone]]
            name = "za"
            region = "north"
            [[zone]]
            name = "zb"
            region = "south"
            [[site]]
            name = "a1"
            zone = "za"
            balancers = "0-1, 4"
            [[site]]
            name = "b1"
            zone = "zb"
            balancers = "2-3"
            [[delay]]
            from = "north"
            to = "south"
            time = "38ms"
            """;

    private static String readError(String text) {
        String message = assertThrows(PlacesException.class, () -> PlacesReader.read("places.toml", text))
                .getMessage();
        assertTrue(message, message.indexOf('\n') < 0);
        return message;
    }

    private static String validWith(String target, String replacement) {
        assertTrue(target, VALID.contains(target));
        return VALID.replace(target, replacement);
    }

    @Test
    public void readsValidFileIntoTree() throws Exception {
        PlacesReader.Result read = PlacesReader.read("places.toml", VALID);
        Places places = read.places();
        assertEquals(5, places.balancers());
        assertEquals("a1", places.group(Level.SITE, 4).name());
        assertEquals(2, places.child(Level.SITE, 4));
        assertEquals("zb", places.group(Level.ZONE, 3).name());
        assertEquals("south", places.group(Level.REGION, 2).name());
        assertEquals(List.of(3, 2), places.group(Level.TIER, 0).sizes());
        assertEquals(List.of(0, 1, 4), places.balancersBelow(places.group(Level.TIER, 0), 0));
        assertEquals(List.of(new PlacesReader.Delay("north", "south", 38_000)), read.delays());
    }

    @Test
    public void reportsEachErrorOnOneLineWithFileLineAndField() {
        String[][] cases = {
            {
                validWith("[[delay]]", "[[site]]\nname = \"a1\"\nzone = \"zb\"\nbalancers = \"2\"\n[[delay]]"),
                "places.toml:18: name = \"a1\" is listed in two zones, za and zb"
            },
            {validWith("zone = \"zb\"", "zone = \"zc\""), "places.toml:15: zone = \"zc\" is not a defined [[zone]]"},
            {validWith("0-1, 4", "0-1"), "places.toml:1: balancers is 5, but balancer 4 is not in any site"},
            {validWith("2-3", "1-3"), "places.toml:16: balancers contains balancer 1, already listed in site a1"},
            {validWith("0-1, 4", "0,1,0,4"), "places.toml:12: balancers contains balancer 0, already listed in site a1"
            },
            {validWith("= 4\n", "= 2\n"), "places.toml:12: balancers assigns 3 members to site a1; the limit is 2"},
            {validWith("balancers = 5", "balancers = 0"), "places.toml:1: balancers is 0, not from 1 to 10000"},
            {validWith("\"2-3\"", "\"\""), "places.toml:16: balancers is not a non-empty quoted string"},
            {
                validWith("\"38ms\"", "38"),
                "places.toml:20: time = 38 is not a duration such as \"38ms\", \"38us\" or \"1s\""
            },
            {
                validWith("\"38ms\"", "\"38\""),
                "places.toml:20: time = 38 is not a duration such as \"38ms\", \"38us\" or \"1s\""
            },
            {validWith("balancers = 5 #", "#"), "places.toml:1: balancers is missing; expected the total count"},
            {validWith("2-3", "3-2"), "places.toml:16: balancers has a descending range from 3 to 2"},
            {validWith("2-3", "2-9"), "places.toml:16: balancers contains balancer 9; the highest number is 4"},
            {validWith("2-3", "two"), "places.toml:16: balancers = \"two\" is not a list such as \"0-12, 14\""},
            {validWith("name = \"zb\"", "name = \"za\""), "places.toml:7: name = \"za\" is already defined as a zone"},
            {validWith("region = \"south\"\n", ""), "places.toml:6: region is missing in [[zone]]"},
            {
                validWith("[[delay]]", "[[delays]]"),
                "places.toml:17: delays is not a known table; expected [[zone]], [[site]] or [[delay]]"
            },
            {validWith("to = \"south\"", "to = \"west\""), "places.toml:19: to = \"west\" is not a defined region"},
            {validWith("zone = \"zb\"", "area = \"zb\""), "places.toml:15: area is not a known field of this table"},
            {validWith("zone = \"zb\"", "zone = \"zb\"\nzone = \"za\""), "places.toml:16: zone is set twice"},
            {
                validWith("zone = \"zb\"", "zone: zb"),
                "places.toml:15: line is neither a [[table]] header nor a field set to a quoted string or an integer"
            },
            {
                validWith(
                        "[[site]]\nname = \"a1\"", "[[zone]]\nname=\"zz\"\nregion=\"north\"\n[[site]]\nname = \"a1\""),
                "places.toml:10: name = \"zz\" is a zone without sites"
            },
        };
        for (String[] testCase : cases) {
            assertEquals(testCase[1], readError(testCase[0]));
        }
        assertEquals("places.toml:1: site is missing; at least one [[site]] is required", readError("balancers = 1"));
    }

    @Test
    public void readsDeployedExample() throws Exception {
        String text = Files.readString(Path.of("deploy/places.toml"));
        assertTrue(PlacesReader.read("deploy/places.toml", text).places().balancers() > 0);
    }
}
