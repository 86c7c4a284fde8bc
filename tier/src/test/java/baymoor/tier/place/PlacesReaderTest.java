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
                "places.toml:18: name = \"a1\" stands in two zones, za and zb"
            },
            {validWith("zone = \"zb\"", "zone = \"zc\""), "places.toml:15: zone = \"zc\" is no [[zone]] of this file"},
            {validWith("0-1, 4", "0-1"), "places.toml:1: balancers is 5, but number 4 is in no site"},
            {validWith("2-3", "1-3"), "places.toml:16: balancers names number 1 twice, also in site a1"},
            {validWith("0-1, 4", "0,1,0,4"), "places.toml:12: balancers names number 0 twice, also in site a1"},
            {validWith("= 4\n", "= 2\n"), "places.toml:12: balancers gives site a1 3 members, over 2"},
            {validWith("balancers = 5", "balancers = 0"), "places.toml:1: balancers is 0, not from 1 to 10000"},
            {validWith("\"2-3\"", "\"\""), "places.toml:16: balancers is not a text in quotes"},
            {validWith("\"38ms\"", "38"), "places.toml:20: time = 38 has no unit; write \"38ms\", \"38us\" or \"1s\""},
            {
                validWith("\"38ms\"", "\"38\""),
                "places.toml:20: time = 38 has no unit; write \"38ms\", \"38us\" or \"1s\""
            },
            {validWith("balancers = 5 #", "#"), "places.toml:1: balancers is missing: the number of all balancers"},
            {validWith("2-3", "3-2"), "places.toml:16: balancers goes down from 3 to 2"},
            {validWith("2-3", "2-9"), "places.toml:16: balancers names number 9; the last one is 4"},
            {validWith("2-3", "two"), "places.toml:16: balancers = \"two\" is no list like \"0-12, 14\""},
            {validWith("name = \"zb\"", "name = \"za\""), "places.toml:7: name = \"za\" is a zone that there is already"
            },
            {validWith("region = \"south\"\n", ""), "places.toml:6: region is missing in [[zone]]"},
            {
                validWith("[[delay]]", "[[delays]]"),
                "places.toml:17: delays is no table; there are [[zone]], [[site]] and [[delay]]"
            },
            {validWith("to = \"south\"", "to = \"west\""), "places.toml:19: to = \"west\" is no region of this file"},
            {validWith("zone = \"zb\"", "area = \"zb\""), "places.toml:15: area is not a field here"},
            {validWith("zone = \"zb\"", "zone = \"zb\"\nzone = \"za\""), "places.toml:16: zone stands here twice"},
            {
                validWith("zone = \"zb\"", "zone: zb"),
                "places.toml:15: line is neither [[table]] nor field = \"text\" or a whole number"
            },
            {
                validWith(
                        "[[site]]\nname = \"a1\"", "[[zone]]\nname=\"zz\"\nregion=\"north\"\n[[site]]\nname = \"a1\""),
                "places.toml:10: name = \"zz\" is a zone without a site"
            },
        };
        for (String[] testCase : cases) {
            assertEquals(testCase[1], readError(testCase[0]));
        }
        assertEquals("places.toml:1: site is missing: there is no [[site]]", readError("balancers = 1"));
    }

    @Test
    public void readsDeployedExample() throws Exception {
        String text = Files.readString(Path.of("deploy/places.toml"));
        assertTrue(PlacesReader.read("deploy/places.toml", text).places().balancers() > 0);
    }
}
