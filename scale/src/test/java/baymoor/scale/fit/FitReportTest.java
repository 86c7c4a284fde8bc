package baymoor.scale.fit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class FitReportTest {

    private static final double BOUND = 0.2;

    @Test
    public void aPredictionWithinTheBoundIsOne() throws BadResult {
        FitReport report = FitReport.of(line(), List.of(SyntheticRuns.result(640, 60, "tickMicros", 1_400)), BOUND);
        assertTrue(report.withinBound());
        assertTrue(
                report.table(), report.table().contains("tickMicros | 640 | 1400 | 1290 | -7.9% | yes | run-640.json"));
    }

    @Test
    public void aPredictionBeyondTheBoundIsMarked() throws BadResult {
        FitReport report = FitReport.of(line(), List.of(SyntheticRuns.result(640, 60, "tickMicros", 2_000)), BOUND);
        assertFalse(report.withinBound());
        assertTrue(report.table(), report.table().contains("| -35.5% | NO | run-640.json"));
    }

    @Test
    public void anotherRunWithoutTheFigureIsPassedOver() throws BadResult {
        FitReport report = FitReport.of(line(), List.of(SyntheticRuns.result(640, 60, "memoryBytes", 1)), BOUND);
        assertTrue(report.predictions().isEmpty());
    }

    @Test
    public void theJsonHoldsSlopesAndPredictions() throws BadResult {
        JsonNode json = FitReport.of(line(), List.of(SyntheticRuns.result(640, 60, "tickMicros", 1_290)), BOUND)
                .json();
        JsonNode figure = json.at("/figures/tickMicros");
        assertEquals("linear", figure.path("model").asText());
        assertEquals(10, figure.path("intercept").asDouble(), 1e-6);
        assertEquals(2, figure.at("/slopes/balancers/value").asDouble(), 1e-9);
        assertTrue(json.at("/predictions/0/within").asBoolean());
    }

    private static List<FigureFit> line() throws BadResult {
        List<Result> runs = new ArrayList<>();
        for (int balancers : new int[] {20, 40, 80, 160}) {
            runs.add(SyntheticRuns.result(balancers, 60, "tickMicros", 10 + 2 * balancers));
        }
        return ModelSelection.fit(runs);
    }
}
