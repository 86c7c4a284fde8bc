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

    private static FigureFit fit(String figure, List<Result> results) {
        List<Dimension> chosen = List.of(Dimension.BALANCERS);
        LeastSquares linear = regression(figure, chosen, results);
        List<Dimension> withSquare = List.of(Dimension.BALANCERS, Dimension.BALANCERS_SQUARED);
        LeastSquares quadratic = regression(figure, withSquare, results);
        LeastSquares best = linear;
        while (!best.exact()) {
            Dimension next = null;
            LeastSquares lowest = best;
            for (Dimension candidate : Dimension.values()) {
                LeastSquares extended =
                        chosen.contains(candidate) ? null : regression(figure, with(chosen, candidate), results);
                if (extended != null
                        && worthATerm(extended, best, chosen.size())
                        && extended.press() < lowest.press()) {
                    next = candidate;
                    lowest = extended;
                }
            }
            if (next == null) {
                break;
            }
            chosen = with(chosen, next);
            best = lowest;
        }
        double quadraticPress = quadratic == null ? Double.NaN : quadratic.press();
        return new FigureFit(figure, chosen, best, results.size(), linear.press(), quadraticPress);
    }

    private static boolean worthATerm(LeastSquares extended, LeastSquares best, int column) {
        return extended.certain(column) && extended.press() < MARKED * best.press();
    }

    private static List<Dimension> with(List<Dimension> chosen, Dimension next) {
        List<Dimension> longer = new ArrayList<>(chosen);
        longer.add(next);
        return longer;
    }

    private static LeastSquares regression(String figure, List<Dimension> dimensions, List<Result> results) {
        double[][] predictors = new double[results.size()][];
        double[] values = new double[results.size()];
        for (int i = 0; i < values.length; i++) {
            predictors[i] = FigureFit.row(dimensions, results.get(i));
            values[i] = results.get(i).figure(figure);
        }
        return LeastSquares.fit(predictors, values);
    }
}
