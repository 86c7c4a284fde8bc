package baymoor.scale.capacity;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

/** The figures of the capacity page follow from its inputs and from the studies. */
public class CapacityPageTest {

    private static final Path PAGE = Path.of("docs/CAPACITY.md");
    private static final Path STUDIES = Path.of("docs/studies/scale");
    /** So many rows at least are recomputed, so that no change of format takes them out of the check. */
    private static final int LEAST_ROWS = 250;

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void everyFigureOfThePageFollows() throws IOException {
        CapacityPage page = CapacityPage.recompute(Files.readAllLines(PAGE), STUDIES);
        assertEquals(String.join("\n", page.mistakes()), 0, page.mistakes().size());
        assertTrue("rows: " + page.values().size(), page.values().size() >= LEAST_ROWS);
    }

    @Test
    public void aFigureThatDoesNotFollowIsNamed() throws IOException {
        Files.writeString(folder.getRoot().toPath().resolve("study.json"), "{\"a\": {\"b\": 4.2, \"c\": \"x\"}}");
        CapacityPage page = CapacityPage.recompute(
                List.of(
                        "| name | formula | value | budget | share |",
                        "| --- | --- | --- | --- | --- |",
                        "| good | `2 * 3` | 6 | 12 | 50% |",
                        "| rounded | 100000 / 3 | 33,300 | - | - |",
                        "| wrong | good * 2 | 13 | - | - |",
                        "| wrong_share | good | 6 | good | 90% |",
                        "| measured | `study.json#/a/b` | 4.2 | - | - |",
                        "| no_number | `study.json#/a/c` | 4.2 | - | - |",
                        "| no_study | `absent.json#/a` | 4.2 | - | - |",
                        "| short | 1 | 1 |",
                        "| unknown | nothing | 1 | - | - |",
                        "| good | 6 | 6 | - | - |",
                        "",
                        "| name | value |",
                        "| --- | --- |",
                        "| not calculated | 1 |"),
                folder.getRoot().toPath());
        assertEquals(33_333.3, page.values().get("rounded"), 0.1);
        assertEquals(4.2, page.values().get("measured"), 0);
        assertEquals(
                List.of("wrong", "wrong_share", "no_number", "no_study", "short", "unknown", "good"),
                page.mistakes().stream()
                        .map(mistake -> mistake.split(":")[0].replace("study.json#/a/c", "no_number"))
                        .toList());
    }
}
