package baymoor.cli;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import picocli.CommandLine;

public class ScaleFitTest {

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    @Test
    public void aLargerRunIsPredicted() throws IOException {
        String json = folder.getRoot().toPath().resolve("fit.json").toString();
        assertEquals(0, fit(run(20), run(40), run(80), run(160), "--predict", run(320), run(640), "--json", json));
        assertTrue(out.toString(), out.toString().contains("bytesInPerSecond | linear | "));
        assertTrue(out.toString(), out.toString().contains("bytesInPerSecond | 640 | 57600 | 57600 | "));
        double slope = new ObjectMapper()
                .readTree(Path.of(json).toFile())
                .at("/figures/bytesInPerSecond/slopes/balancers/value")
                .asDouble();
        assertEquals(90, slope, 1e-6);
    }

    @Test
    public void aMissedPredictionIsABadResult() throws IOException {
        String slow = run(640, 90_000, true);
        assertEquals(1, fit(run(20), run(40), run(80), run(160), "--predict", slow));
        assertTrue(out.toString(), out.toString().contains("| NO | " + slow));
    }

    @Test
    public void aRunThatIsNotValidIsRefused() throws IOException {
        String invalid = run(160, 14_400, false);
        assertEquals(2, fit(run(20), run(40), run(80), invalid));
        assertEquals("baymoor scale fit: " + invalid + ": the run is not valid: held up\n", err.toString());
    }

    @Test
    public void badCommandLinesAreUsage() throws IOException {
        String first = run(20);
        assertEquals(2, fit());
        assertEquals(2, fit(first, "absent.json"));
        assertEquals(2, fit(first, run(40)));
        assertEquals(2, fit(first, run(40), run(80), "--predict", first));
        assertEquals(2, fit(first, run(40), run(80), "--within", "0"));
        assertEquals(2, fit(first, run(40), run(80), "--within", "much"));
    }

    @Test
    public void benchmarksAreFitted() throws IOException {
        String results = "docs/studies/scale/decisions-jmh.json";
        String json = folder.getRoot().toPath().resolve("slopes.json").toString();
        assertEquals(0, scale("fit-benchmarks", results, "--json", json));
        assertTrue(out.toString(), out.toString().contains("tick micros | "));
        assertEquals(
                "the slopes on the page are those of the results beside them",
                Files.readString(Path.of("docs/studies/scale/decisions-fit.json")),
                Files.readString(Path.of(json)));
    }

    @Test
    public void whatHoldsNoBenchmarksIsUsage() throws IOException {
        assertEquals(2, scale("fit-benchmarks"));
        assertEquals(2, scale("fit-benchmarks", "absent.json"));
        String run = run(20);
        assertEquals(2, scale("fit-benchmarks", run));
        assertTrue(err.toString(), err.toString().endsWith(run + ": no JSON array of benchmarks\n"));
    }

    @Test
    public void bothCommandsHaveHelp() {
        assertEquals(0, scale("fit", "--help"));
        assertEquals(0, scale("fit-benchmarks", "--help"));
        assertTrue(out.toString(), out.toString().contains("Usage: baymoor scale fit-benchmarks"));
    }

    private int fit(String... arguments) {
        String[] words = new String[arguments.length + 1];
        words[0] = "fit";
        System.arraycopy(arguments, 0, words, 1, arguments.length);
        return scale(words);
    }

    private int scale(String... arguments) {
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(err, true));
        String[] all = new String[arguments.length + 1];
        all[0] = "scale";
        System.arraycopy(arguments, 0, all, 1, arguments.length);
        return line.execute(all);
    }

    private String run(int balancers) throws IOException {
        return run(balancers, 90.0 * balancers, true);
    }

    private String run(int balancers, double bytes, boolean valid) throws IOException {
        Path file = folder.newFile().toPath();
        Files.writeString(file, """
                {"file": "x.toml", "seed": 1, "valid": %b, "reasons": ["held up"],
                 "size": {"balancers": %d, "routers": 60, "sites": 4, "requestsPerSecond": 2000, "keys": 100,
                          "changesPerSecond": 0},
                 "hollow": {"bytesInPerSecond": %s}, "real": [], "changes": []}
                """.formatted(valid, balancers, bytes));
        return file.toString();
    }
}
