package baymoor.scale.fit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class ResultReaderTest {

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void aValidResultIsRead() throws IOException, BadResult {
        ObjectNode root = good();
        ((ObjectNode) root.get("hollow")).putNull("overIssue");
        Result result = ResultReader.read(written(root.toString()));
        assertEquals(1, result.seed());
        assertEquals(40, result.size(Dimension.BALANCERS), 0);
        assertEquals(1_600, result.size(Dimension.BALANCERS_SQUARED), 0);
        assertEquals(50, result.size(Dimension.REQUESTS_PER_BALANCER), 0);
        assertEquals(12.5, result.figure("tickMicros"), 0);
        assertFalse(result.has("overIssue"));
    }

    @Test
    public void aRunThatIsNotValidIsRefusedByName() throws IOException {
        ObjectNode root = good();
        root.put("valid", false).putArray("reasons").add("3 datagrams dropped").add("late by 90 ms");
        refused(root.toString(), "the run is not valid: 3 datagrams dropped; late by 90 ms");
    }

    @Test
    public void whatIsNoResultIsRefusedInOneLine() throws IOException {
        refused("", "no JSON object");
        refused("[]", "no JSON object");
        refused("{\"valid\": tru", "no JSON");
        refused("{}", "valid is missing");
        refused(with("valid", "\"yes\""), "valid is missing or no boolean");
        refused(with("size", "{}"), "size.balancers is missing");
        refused(with("size", "{\"balancers\": -3}"), "size.balancers is missing or no number");
        refused(good().toString().replace("\"balancers\":40", "\"balancers\":0"), "size.balancers is under 1");
        refused(good().toString().replace("\"keys\":1000", "\"keys\":\"many\""), "size.keys is missing");
        refused(with("hollow", "{}"), "hollow is missing or empty");
        refused(with("hollow", "{\"tickMicros\": \"long\"}"), "hollow.tickMicros is no number");
    }

    @Test
    public void aFileThatIsNotThereIsNamed() {
        Path absent = folder.getRoot().toPath().resolve("absent.json");
        BadResult refusal = assertThrows(BadResult.class, () -> ResultReader.read(absent));
        assertEquals(absent + ": can't be read", refusal.getMessage());
    }

    private static ObjectNode good() {
        return SyntheticRuns.json(40, 60, "tickMicros", 12.5);
    }

    private static String with(String field, String json) throws IOException {
        return good().set(field, SyntheticRuns.JSON.readTree(json)).toString();
    }

    private Path written(String text) throws IOException {
        return Files.writeString(folder.newFile().toPath(), text);
    }

    private void refused(String text, String part) throws IOException {
        Path file = written(text);
        BadResult refusal = assertThrows(BadResult.class, () -> ResultReader.read(file));
        assertTrue(refusal.getMessage(), refusal.getMessage().startsWith(file + ": "));
        assertTrue(refusal.getMessage(), refusal.getMessage().contains(part));
        assertEquals(1, refusal.getMessage().lines().count());
    }
}
