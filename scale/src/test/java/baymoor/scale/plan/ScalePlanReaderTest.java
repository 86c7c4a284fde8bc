package baymoor.scale.plan;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.Test;

/** Plans are read in whole, and each mistake is named in one line with file, line and field. */
public class ScalePlanReaderTest {

    private static final String RIGHT = """
            regions = ["north", "south"]
            [[zones]]
            name = "n1"
            region = "north"
            sites = 2
            [[zones]]
            name = "s1"
            region = "south"
            [balancers]
            hollow = 7
            real = 2
            [network]
            between_regions = ["20ms", "30ms"]
            [[script]]
            at = "1s"
            do = "cut-region"
            region = "south"
            for = "2s"
            """;

    /** What is put in place of what, and the line that tells of it. */
    private record Mistaken(String right, String wrong, String told) {}

    private static final List<Mistaken> MISTAKES = List.of(
            new Mistaken("name = \"s1\"", "name = \"n1\"", "p.toml:7:1: zones[2].name = \"n1\" is a zone already"),
            new Mistaken(
                    "region = \"south\"\n[b",
                    "region = \"west\"\n[b",
                    "zones[2].region = \"west\" is none of north, south"),
            new Mistaken("[\"north\", \"south\"]", "[\"north\", \"north\"]", "regions names a region twice"),
            new Mistaken("hollow = 7\nreal = 2", "hollow = 0", "p.toml:10:1: balancers.hollow is 0: without"),
            new Mistaken("real = 2", "real = 33", "p.toml:11:1: balancers.real is over 32"),
            new Mistaken("hollow = 7", "hollow = 999", "balancers.hollow and real make over 1000"),
            new Mistaken("hollow = 7", "hollow = \"7\"", "balancers.hollow is not a whole number"),
            new Mistaken(
                    "[\"20ms\", \"30ms\"]",
                    "[20, 30]",
                    "p.toml:13:1: network.between_regions = 20 has no unit; write a time such as \"800ms\""),
            new Mistaken("between_regions", "between_region", "did you mean between_regions?"),
            new Mistaken("at = \"1s\"", "at = \"100s\"", "script[1].at is after the end"),
            new Mistaken("cut-region", "cut-rack", "script[1].do = \"cut-rack\" is none of cut-zone"),
            new Mistaken(
                    "region = \"south\"\nfor",
                    "region = \"west\"\nfor",
                    "script[1].region = \"west\" is none of north"),
            new Mistaken("for = \"2s\"", "", "script[1].for is missing"),
            new Mistaken("sites = 2", "sites = 0", "zones[1].sites is 0, under 1"),
            new Mistaken("regions =", "slowdown = 2\nregions =", "real balancers' clocks can't be slowed down"),
            new Mistaken("hollow = 7", "hollow = = 7", "p.toml:10:"));

    @Test
    public void aPlanIsReadInWhole() throws BadPlan {
        ScalePlan plan = ScalePlanReader.parse(RIGHT, "p.toml");
        assertEquals(9, plan.balancers().count());
        assertEquals(3, plan.places().siteCount());
        assertEquals(20_000, plan.network().betweenRegions().least());
        assertEquals(ScalePlan.What.CUT_REGION, plan.script().get(0).what());
        assertEquals(1, plan.script().get(0).place());
        assertEquals("p", plan.name());
    }

    @Test
    public void eachMistakeIsNamedInOneLine() {
        for (Mistaken mistaken : MISTAKES) {
            assertTrue(mistaken.right(), RIGHT.contains(mistaken.right()));
            String text = RIGHT.replace(mistaken.right(), mistaken.wrong());
            BadPlan bad = assertThrows(mistaken.told(), BadPlan.class, () -> ScalePlanReader.parse(text, "p.toml"));
            assertTrue(bad.getMessage(), bad.getMessage().lines().allMatch(line -> line.startsWith("p.toml:")));
            assertTrue(
                    bad.getMessage() + " lacks " + mistaken.told(),
                    bad.getMessage().contains(mistaken.told()));
        }
    }

    @Test
    public void allExamplesAreRight() throws IOException, BadPlan {
        try (Stream<Path> files = Files.list(Path.of("examples/scale"))) {
            for (Path file : files.toList()) {
                ScalePlanReader.read(file);
            }
        }
    }

    @Test
    public void aFileThatIsNotThereIsNamed() {
        BadPlan bad = assertThrows(BadPlan.class, () -> ScalePlanReader.read(Path.of("no/such.toml")));
        assertTrue(bad.getMessage(), bad.getMessage().startsWith("no/such.toml: can't be read"));
    }

    @Test
    public void anotherNumberKeepsTheRealOnesAndScalesTheOrigin() throws BadPlan {
        ScalePlan plan = ScalePlanReader.parse(RIGHT, "p.toml");
        ScalePlan twice = plan.withBalancers(18);
        assertEquals(2, twice.balancers().real());
        assertEquals(16, twice.balancers().hollow());
        assertEquals(2 * plan.origin().capacity(), twice.origin().capacity(), 1e-9);
    }
}
