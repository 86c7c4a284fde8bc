package baymoor.scale.fit;

import java.util.ArrayList;
import java.util.List;

/** How one figure grows with the size of the tier. */
public final class FigureFit {

    /**
     * A fitted coefficient.
     *
     * @param interval half the width of its 95% confidence interval
     */
    public record Slope(Dimension dimension, double value, double interval) {}

    /** A figure as measured in a run and as the fit predicts it. */
    public record Prediction(String file, double balancers, String figure, double measured, double predicted) {

        /** The prediction's error as a part of what was measured. */
        public double error() {
            return measured == predicted ? 0 : predicted / measured - 1;
        }
    }

    private final String figure;
    private final List<Dimension> dimensions;
    private final LeastSquares fit;
    private final int runs;
    private final double linearPress;
    private final double quadraticPress;

    FigureFit(
            String figure,
            List<Dimension> dimensions,
            LeastSquares fit,
            int runs,
            double linearPress,
            double quadraticPress) {
        this.figure = figure;
        this.dimensions = List.copyOf(dimensions);
        this.fit = fit;
        this.runs = runs;
        this.linearPress = linearPress;
        this.quadraticPress = quadraticPress;
    }

    /** The name of the figure that was fitted. */
    public String figure() {
        return figure;
    }

    /** Whether the square of the number of balancers is one of the terms. */
    public boolean quadratic() {
        return dimensions.contains(Dimension.BALANCERS_SQUARED);
    }

    /** The fitted value at no balancers at all, in the figure's own unit. */
    public double intercept() {
        return fit.intercept();
    }

    /** Half the width of the 95% confidence interval of {@link #intercept}. */
    public double interceptInterval() {
        return fit.interceptInterval();
    }

    /** The slopes, that by balancers first. */
    public List<Slope> slopes() {
        List<Slope> slopes = new ArrayList<>();
        for (int i = 0; i < dimensions.size(); i++) {
            slopes.add(new Slope(dimensions.get(i), fit.slope(i), fit.slopeInterval(i)));
        }
        return slopes;
    }

    /** The standard deviation of the residuals, as a part of what was measured. */
    public double residualError() {
        return fit.residualError();
    }

    /** How many runs the fit rests on. */
    public int runs() {
        return runs;
    }

    /** The root mean square relative residual of left-out runs, without the quadratic term. */
    public double linearLeaveOneOutError() {
        return Math.sqrt(linearPress / runs);
    }

    /** The same with the quadratic term; not a number where it could not be fitted. */
    public double quadraticLeaveOneOutError() {
        return Math.sqrt(quadraticPress / runs);
    }

    /** What the fit predicts for a run of another size. */
    public Prediction predict(Result result) {
        double[] row = row(dimensions, result);
        return new Prediction(
                result.file(), result.size(Dimension.BALANCERS), figure, result.figure(figure), fit.predict(row));
    }

    static double[] row(List<Dimension> dimensions, Result result) {
        return dimensions.stream().mapToDouble(result::size).toArray();
    }
}
