package baymoor.scale.fit;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.Test;

public class ModelSelectionTest {

    private static final String FIGURE = "bytesInPerSecond";
    private static final int[] SIZES = {20, 40, 80, 160};
    private static final int REPEATS = 3;
    private static final int ROUTERS = 60;

    @Test
    public void aLineIsFoundWithItsSlopeInTheInterval() throws BadResult {
        FigureFit fit = fitted(n -> 500 + 90 * n, 0.01);
        FigureFit.Slope slope = fit.slopes().get(0);
        assertFalse(fit.quadratic());
        assertEquals(1, fit.slopes().size());
        assertEquals(Dimension.BALANCERS, slope.dimension());
        assertEquals(90, slope.value(), slope.interval());
        assertTrue("interval " + slope.interval(), slope.interval() < 3);
    }

    @Test
    public void aSquareIsFoundAndPredictsLargerRuns() throws BadResult {
        FigureFit fit = fitted(n -> 100 + 3 * n + 0.2 * n * n, 0.01);
        assertTrue(fit.quadratic());
        assertTrue(fit.quadraticLeaveOneOutError() < fit.linearLeaveOneOutError());
        double atSize = 100 + 3 * 640 + 0.2 * 640 * 640;
        FigureFit.Prediction prediction = fit.predict(SyntheticRuns.result(640, ROUTERS, FIGURE, atSize));
        assertEquals(0, prediction.error(), 0.2);
    }

    @Test
    public void noiseAloneBringsInNoSquare() throws BadResult {
        int quadratic = 0;
        for (int seed = 0; seed < 200; seed++) {
            quadratic += ModelSelection.fit(runs(n -> 1_000 + 10 * n, 0.02, seed))
                            .get(0)
                            .quadratic()
                    ? 1
                    : 0;
        }
        assertTrue(quadratic + " of 200", quadratic < 10);
    }

    @Test
    public void intervalsHoldTheSlopeAsOftenAsTheySay() throws BadResult {
        int held = 0;
        for (int seed = 0; seed < 400; seed++) {
            List<Result> noisy = runs(n -> 1_000 + 10 * n, 0.02, seed);
            LeastSquares fit = LeastSquares.fit(
                    noisy.stream()
                            .map(run -> new double[] {run.size(Dimension.BALANCERS)})
                            .toArray(double[][]::new),
                    noisy.stream().mapToDouble(run -> run.figure(FIGURE)).toArray());
            held += Math.abs(fit.slope(0) - 10) <= fit.slopeInterval(0) ? 1 : 0;
        }
        assertTrue(held + " of 400", held >= 368 && held <= 392);
    }

    @Test
    public void aSecondDimensionGetsASlopeOfItsOwn() throws BadResult {
        List<Result> runs = new ArrayList<>();
        Random random = new Random(5);
        for (int balancers : SIZES) {
            for (int routers : new int[] {13, 60, 180}) {
                double value = 200 + 45 * balancers + 7 * routers + random.nextGaussian();
                runs.add(SyntheticRuns.result(balancers, routers, FIGURE, value));
            }
        }
        List<FigureFit.Slope> slopes = ModelSelection.fit(runs).get(0).slopes();
        assertEquals(Dimension.ROUTERS, slopes.get(1).dimension());
        assertEquals(45, slopes.get(0).value(), 0.1);
        assertEquals(7, slopes.get(1).value(), 0.1);
    }

    @Test
    public void anExactLineStaysOneAndADependentColumnIsLeftOut() throws BadResult {
        List<Result> runs = new ArrayList<>();
        for (int balancers : SIZES) {
            runs.add(SyntheticRuns.result(balancers, 2 * balancers, FIGURE, 5.0 * balancers));
        }
        FigureFit fit = ModelSelection.fit(runs).get(0);
        assertEquals(1, fit.slopes().size());
        assertEquals(5, fit.slopes().get(0).value(), 1e-9);
    }

    @Test
    public void tooFewSizesOrNoCommonFigureAreRefused() {
        List<Result> two = List.of(
                SyntheticRuns.result(20, ROUTERS, FIGURE, 1),
                SyntheticRuns.result(40, ROUTERS, FIGURE, 2),
                SyntheticRuns.result(40, ROUTERS, FIGURE, 2));
        assertThrows(BadResult.class, () -> ModelSelection.fit(two));
        List<Result> different = List.of(
                SyntheticRuns.result(20, ROUTERS, FIGURE, 1),
                SyntheticRuns.result(40, ROUTERS, "tickMicros", 2),
                SyntheticRuns.result(80, ROUTERS, FIGURE, 2));
        assertThrows(BadResult.class, () -> ModelSelection.fit(different));
    }

    private static FigureFit fitted(IntToDoubleFunction truth, double noise) throws BadResult {
        return ModelSelection.fit(runs(truth, noise, 7)).get(0);
    }

    private static List<Result> runs(IntToDoubleFunction truth, double noise, long seed) {
        Random random = new Random(seed);
        List<Result> runs = new ArrayList<>();
        for (int balancers : SIZES) {
            for (int repeat = 0; repeat < REPEATS; repeat++) {
                double value = truth.applyAsDouble(balancers) * (1 + noise * random.nextGaussian());
                runs.add(SyntheticRuns.result(balancers, ROUTERS, FIGURE, value));
            }
        }
        return runs;
    }
}
