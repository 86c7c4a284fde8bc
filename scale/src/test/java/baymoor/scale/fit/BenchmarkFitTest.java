package baymoor.scale.fit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;

public class BenchmarkFitTest {

    private static final int[][] SIZES = {
        {4, 13, 13}, {14, 60, 15}, {14, 60, 60}, {100, 200, 67}, {320, 180, 15}, {640, 60, 0}, {640, 180, 67}
    };

    @Rule
    public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void slopesByBalancersRoutersAndLoadsAreFound() throws IOException, BadResult {
        ArrayNode results = SyntheticRuns.JSON.createArrayNode();
        for (int[] size : SIZES) {
            double micros = 3 + 0.3 * size[0] + 0.2 * size[1] + 0.05 * size[0] * size[2];
            results.add(result("x.TickBenchmark.tick", size, micros, 100 + 24 * size[0]));
        }
        BenchmarkFit fit = BenchmarkFit.of(written(results.toString()));
        JsonNode tick = fit.json().path("tick micros");
        assertEquals(0.3, tick.at("/slopes/balancers/value").asDouble(), 1e-6);
        assertEquals(0.2, tick.at("/slopes/routers/value").asDouble(), 1e-6);
        assertEquals(0.05, tick.at("/slopes/reported loads/value").asDouble(), 1e-6);
        assertTrue(tick.at("/slopes/keys").isMissingNode());
        JsonNode bytes = fit.json().path("tick bytes allocated");
        assertEquals(24, bytes.at("/slopes/balancers/value").asDouble(), 1e-6);
        assertTrue(fit.table(), fit.table().contains("tick micros | 3.000 ± "));
    }

    @Test
    public void processorTimeGoesBeforeTimeOnTheClock() throws IOException, BadResult {
        ArrayNode results = SyntheticRuns.JSON.createArrayNode();
        for (int[] size : SIZES) {
            ObjectNode result = result("x.TickBenchmark.tick", size, 1_000, 100);
            ObjectNode processor = ((ObjectNode) result.get("secondaryMetrics")).putObject("cpu.norm");
            processor.put("scoreUnit", "us/op").putArray("rawData").addArray().add(2.0 * size[0]);
            results.add(result);
        }
        BenchmarkFit fit = BenchmarkFit.of(written(results.toString()));
        assertEquals(2, fit.json().at("/tick micros/slopes/balancers/value").asDouble(), 1e-6);
    }

    @Test
    public void largerSizesArePredictedFromSmallerOnes() throws IOException, BadResult {
        ArrayNode results = SyntheticRuns.JSON.createArrayNode();
        for (int[] size : SIZES) {
            results.add(result("x.TickBenchmark.tick", size, 3 + 0.3 * size[0] + 0.05 * size[0] * size[2], 100));
        }
        BenchmarkFit fit = BenchmarkFit.upTo(written(results.toString()), 320);
        JsonNode predictions = fit.json().path("predictions");
        assertEquals("640x60x0", predictions.get(0).path("size").asText());
        assertEquals(0, predictions.get(0).path("error").asDouble(), 1e-6);
        assertTrue(fit.table(), fit.table().contains("tick micros | 640x180x67 | 2339 | 2339 | "));
        assertTrue(fit.json().at("/tick micros/slopes/routers").isMissingNode());
    }

    @Test
    public void whatIsNoResultOfBenchmarksIsRefusedInOneLine() throws IOException {
        refused("{}", "no JSON array");
        refused("[", "no JSON");
        refused("[]", "no benchmark");
        refused("[{\"benchmark\": \"a.b\", \"params\": {\"size\": \"4xmany\"}}]", "BALANCERSxROUTERSxREPORTED");
        ObjectNode wrongUnit = result("a.b", SIZES[0], 1, 1);
        ((ObjectNode) wrongUnit.get("primaryMetric")).put("scoreUnit", "ns/op");
        refused("[" + wrongUnit + "]", "b is not in us/op");
        Path absent = folder.getRoot().toPath().resolve("absent.json");
        assertEquals(
                absent + ": can't be read",
                assertThrows(BadResult.class, () -> BenchmarkFit.of(absent)).getMessage());
    }

    private static ObjectNode result(String benchmark, int[] size, double micros, double bytes) {
        ObjectNode root = SyntheticRuns.JSON.createObjectNode().put("benchmark", benchmark);
        root.putObject("params").put("size", size[0] + "x" + size[1] + "x" + size[2]);
        ObjectNode metric = root.putObject("primaryMetric").put("scoreUnit", "us/op");
        metric.putArray("rawData").addArray().add(micros).add(micros);
        root.putObject("secondaryMetrics").putObject("gc.alloc.rate.norm").put("score", bytes);
        return root;
    }

    private Path written(String text) throws IOException {
        return Files.writeString(folder.newFile().toPath(), text);
    }

    private void refused(String text, String part) throws IOException {
        Path file = written(text);
        BadResult refusal = assertThrows(BadResult.class, () -> BenchmarkFit.of(file));
        assertTrue(refusal.getMessage(), refusal.getMessage().startsWith(file + ": "));
        assertTrue(refusal.getMessage(), refusal.getMessage().contains(part));
        assertEquals(1, refusal.getMessage().lines().count());
    }
}
