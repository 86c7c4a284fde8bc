package baymoor.scale.fit;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * Fits each figure to the size of the runs. The number of balancers is always a term. A further one is taken in where it
 * lowers the error of left-out runs markedly and differs from 0 with 99% confidence: the square of the number of balancers,
 * or another dimension in which the runs differ.
 */
public final class ModelSelection {

    /** A further term must lower the prediction sum of squares to this part, so that noise alone seldom brings one in. */
    private static final double MARKED = 0.8;

    /** The most of a dimension against its least from which on runs differ in it by intent. */
    private static final double MEANT = 1.5;

    /** Runs of at least so many different numbers of balancers are needed for a fit. */
    private static final int SIZES_NEEDED = 3;

    private ModelSelection() {}

    /** Fits every figure that all results have. */
    public static List<FigureFit> fit(List<Result> results) throws BadResult {
        long sizes = results.stream()
                .mapToDouble(result -> result.size(Dimension.BALANCERS))
                .distinct()
                .count();
        if (sizes < SIZES_NEEDED) {
            throw new BadResult(
                    "a fit needs runs of " + SIZES_NEEDED + " different numbers of balancers, not " + sizes);
        }
        List<FigureFit> fits = new ArrayList<>();
        for (String figure : commonFigures(results)) {
            fits.add(fit(figure, results));
        }
        if (fits.isEmpty()) {
            throw new BadResult("no figure is in all of the results");
        }
        return fits;
    }

    private static TreeSet<String> commonFigures(List<Result> results) {
        TreeSet<String> names = new TreeSet<>(results.get(0).figures().keySet());
        results.forEach(result -> names.retainAll(result.figures().keySet()));
        return names;
    }

    /** A set of terms with its fit. */
    private record Model(List<Dimension> dimensions, LeastSquares fit) {}

    private static FigureFit fit(String figure, List<Result> results) {
        Model linear = model(figure, List.of(Dimension.BALANCERS), results);
        Model quadratic = model(figure, List.of(Dimension.BALANCERS, Dimension.BALANCERS_SQUARED), results);
        Model best = linear;
        Model better = betterModel(figure, best, results);
        while (better != null) {
            best = better;
            better = betterModel(figure, best, results);
        }
        double quadraticPress = quadratic == null ? Double.NaN : quadratic.fit().press();
        return new FigureFit(
                figure,
                best.dimensions(),
                best.fit(),
                results.size(),
                linear.fit().press(),
                quadraticPress);
    }

    /** The model with the one further term that explains most, or null where none is worth it. */
    private static Model betterModel(String figure, Model best, List<Result> results) {
        Model better = null;
        if (best.fit().exact()) {
            return null;
        }
        for (Dimension candidate : Dimension.values()) {
            if (best.dimensions().contains(candidate) || !varies(candidate, results)) {
                continue;
            }
            List<Dimension> longer = new ArrayList<>(best.dimensions());
            longer.add(candidate);
            Model extended = model(figure, longer, results);
            boolean worthATerm = extended != null
                    && extended.fit().certain(longer.size() - 1)
                    && extended.fit().press() < MARKED * best.fit().press();
            if (worthATerm
                    && (better == null || extended.fit().press() < better.fit().press())) {
                better = extended;
            }
        }
        return better;
    }

    /** Whether the runs were meant to differ in a dimension: measured rates differ a little in any case. */
    private static boolean varies(Dimension dimension, List<Result> results) {
        double least = results.stream()
                .mapToDouble(result -> result.size(dimension))
                .min()
                .orElse(0);
        double most = results.stream()
                .mapToDouble(result -> result.size(dimension))
                .max()
                .orElse(0);
        return most > MEANT * least;
    }

    private static Model model(String figure, List<Dimension> dimensions, List<Result> results) {
        double[][] predictors = new double[results.size()][];
        double[] values = new double[results.size()];
        for (int i = 0; i < values.length; i++) {
            predictors[i] = FigureFit.row(dimensions, results.get(i));
            values[i] = results.get(i).figure(figure);
        }
        LeastSquares fit = LeastSquares.fit(predictors, values);
        return fit == null ? null : new Model(dimensions, fit);
    }
}
